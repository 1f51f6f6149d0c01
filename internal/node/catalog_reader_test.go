package node

import (
	"context"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/access"
	"gentianstand/internal/boottime"
	"gentianstand/internal/catalog"
	"gentianstand/internal/store"
)

// slowSource returns the same update on every read and advances the test's clock by took.
type slowSource struct {
	now    boottime.Instant
	took   time.Duration
	update catalog.Update
	err    error
}

func (s *slowSource) Newest(context.Context) (catalog.Update, error) {
	s.now = s.now.Add(s.took)
	return s.update, s.err
}

func (s *slowSource) Since(ctx context.Context, _ uint64, _ time.Duration) (catalog.Update, error) {
	return s.Newest(ctx)
}

func readerOf(s *slowSource) *catalogReader {
	log, _ := logtest.NewNullLogger()
	r := newCatalogReader(s, &catalog.Current{}, log)
	r.now = func() boottime.Instant { return s.now }
	return r
}

// Guards against a key that remains valid too long when it is removed during a read.
func TestViewIsConfirmedFromTheStartOfTheRead(t *testing.T) {
	source := &slowSource{now: boottime.Instant(time.Hour), took: 2 * time.Second, update: catalog.Update{Catalog: catalog.New(catalog.Content{Version: 1}), Position: 7}}
	r := readerOf(source)
	if err := r.read(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	if age := r.current.View().Age(source.now); age != 2*time.Second {
		t.Errorf("age %v after a read of 2 s", age)
	}
}

// Guards against removed keys that remain valid because a view was confirmed by a response that
// does not prove which configuration is the newest.
func TestIncompleteAnswersDoNotConfirmTheView(t *testing.T) {
	first := catalog.Update{Catalog: catalog.New(catalog.Content{Version: 1}), Position: 7}
	for _, test := range []struct {
		name   string
		update catalog.Update
		err    error
	}{
		{"the store refuses", catalog.Update{}, store.ErrUnavailable},
		{"no answer", catalog.Update{}, store.ErrUnknown},
		{"history gone", catalog.Update{}, store.ErrHistoryGone},
		{"a part of the changes", catalog.Update{Position: 9, Partial: true}, nil},
	} {
		source := &slowSource{now: boottime.Instant(time.Hour), update: first}
		r := readerOf(source)
		if err := r.read(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		source.now, source.update, source.err = source.now.Add(time.Second), test.update, test.err
		if err := r.read(t.Context(), 0); (err != nil) != (test.err != nil && test.err != store.ErrHistoryGone) {
			t.Errorf("%s: error %v", test.name, err)
		}
		if age := r.current.View().Age(source.now); age != time.Second {
			t.Errorf("%s: the view is %v old, want 1 s", test.name, age)
		}
	}
}

// Guards against callers that are refused on every instance whose feed stalled once.
func TestViewIsConfirmedOftenEnoughForKeys(t *testing.T) {
	policy := access.Policy{KeysNeeded: true, RevokedWithin: 5 * time.Second}
	f := newCatalogFollower(readerOf(&slowSource{}), nil, policy, nil)
	if f.wait > policy.MaxViewAge()/3 || f.wait <= 0 {
		t.Errorf("the feed waits for %v, the maximum age of a view is %v", f.wait, policy.MaxViewAge())
	}
	if f := newCatalogFollower(readerOf(&slowSource{}), nil, access.Policy{}, nil); f.wait != feedWait {
		t.Errorf("without keys the feed waits for %v", f.wait)
	}
}
