package node

import (
	"context"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/access"
	"gentianstand/internal/catalog"
	"gentianstand/internal/steady"
	"gentianstand/internal/store"
)

// slowSource answers each question after a while on the clock of the test.
type slowSource struct {
	now  steady.Instant
	took time.Duration
	news catalog.Update
	err  error
}

func (s *slowSource) Newest(context.Context) (catalog.Update, error) {
	s.now = s.now.Add(s.took)
	return s.news, s.err
}

func (s *slowSource) Since(ctx context.Context, _ uint64, _ time.Duration) (catalog.Update, error) {
	return s.Newest(ctx)
}

func readerOf(s *slowSource) *catalogReader {
	log, _ := logtest.NewNullLogger()
	r := newCatalogReader(s, &catalog.Current{}, log)
	r.now = func() steady.Instant { return s.now }
	return r
}

// Failure: a key that was removed while a read was under way works too long.
func TestViewIsConfirmedFromTheStartOfTheRead(t *testing.T) {
	source := &slowSource{now: steady.Instant(time.Hour), took: 2 * time.Second, news: catalog.Update{Catalog: catalog.New(catalog.Content{Version: 1}), Position: 7}}
	r := readerOf(source)
	if err := r.read(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	if age := r.current.View().Age(source.now); age != 2*time.Second {
		t.Errorf("age %v after a read of 2 s", age)
	}
}

// Failure: keys work on although it is not known which configuration is the newest.
func TestAnswersThatDoNotTellTheNewestConfirmNothing(t *testing.T) {
	first := catalog.Update{Catalog: catalog.New(catalog.Content{Version: 1}), Position: 7}
	for _, test := range []struct {
		name string
		news catalog.Update
		err  error
	}{
		{"the store refuses", catalog.Update{}, store.ErrUnavailable},
		{"no answer", catalog.Update{}, store.ErrUnknown},
		{"history gone", catalog.Update{}, store.ErrHistoryGone},
		{"a part of the changes", catalog.Update{Position: 9, Partial: true}, nil},
	} {
		source := &slowSource{now: steady.Instant(time.Hour), news: first}
		r := readerOf(source)
		if err := r.read(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		source.now, source.news, source.err = source.now.Add(time.Second), test.news, test.err
		if err := r.read(t.Context(), 0); (err != nil) != (test.err != nil && test.err != store.ErrHistoryGone) {
			t.Errorf("%s: error %v", test.name, err)
		}
		if age := r.current.View().Age(source.now); age != time.Second {
			t.Errorf("%s: the view is %v old, want 1 s", test.name, age)
		}
	}
}

// Failure: on each instance whose feed stood still once, callers are refused.
func TestViewIsConfirmedOftenEnoughForKeys(t *testing.T) {
	policy := access.Policy{KeysNeeded: true, RevokedWithin: 5 * time.Second}
	f := newCatalogFollower(readerOf(&slowSource{}), nil, policy, nil)
	if f.wait > policy.MaxViewAge()/3 || f.wait <= 0 {
		t.Errorf("news are waited for %v, views serve for %v", f.wait, policy.MaxViewAge())
	}
	if f := newCatalogFollower(readerOf(&slowSource{}), nil, access.Policy{}, nil); f.wait != feedWait {
		t.Errorf("without keys news are waited for %v", f.wait)
	}
}
