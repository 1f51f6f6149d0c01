package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/access"
	"gentianstand/internal/catalog"
	"gentianstand/internal/store"
)

// scripted is a source that returns its answers in order.
type scripted struct {
	answers []scriptedAnswer
	asked   []string
	waits   []time.Duration
}

type scriptedAnswer struct {
	version uint64
	at      uint64
	err     error
}

func (s *scripted) next(call string) (catalog.Update, error) {
	s.asked = append(s.asked, call)
	a := s.answers[0]
	s.answers = s.answers[1:]
	if a.err != nil || a.version == 0 {
		return catalog.Update{Position: a.at}, a.err
	}
	return catalog.Update{Catalog: catalog.New(catalog.Content{Version: a.version}), Position: a.at}, nil
}

func (s *scripted) Newest(context.Context) (catalog.Update, error) { return s.next("newest") }

func (s *scripted) Since(_ context.Context, _ uint64, wait time.Duration) (catalog.Update, error) {
	s.waits = append(s.waits, wait)
	return s.next("since")
}

func followerOf(answers ...scriptedAnswer) (*catalogFollower, *scripted, *logtest.Hook) {
	log, hook := logtest.NewNullLogger()
	source := &scripted{answers: answers}
	return newCatalogFollower(newCatalogReader(source, &catalog.Current{}, log), nil, access.Policy{}, log), source, hook
}

// Guards against a follower that sees no more changes of the configuration after the store has
// dropped the history that it needs.
func TestFollowerReadsEverythingWhenTheHistoryIsGone(t *testing.T) {
	f, source, _ := followerOf(scriptedAnswer{version: 1, at: 10}, scriptedAnswer{err: store.ErrHistoryGone}, scriptedAnswer{version: 2, at: 30})
	for range 3 {
		if err := f.step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if want := []string{"newest", "since", "newest"}; len(source.asked) != 3 || source.asked[2] != want[2] || f.reader.current.Get().Version != 2 {
		t.Errorf("asked %v, version %d; want %v and 2", source.asked, f.reader.current.Get().Version, want)
	}
}

// Guards against callers that are refused for a second after the end of an outage.
func TestFollowerReadsWithoutWaitingDuringAnOutage(t *testing.T) {
	f, source, hook := followerOf(scriptedAnswer{version: 1, at: 10}, scriptedAnswer{err: store.ErrUnavailable},
		scriptedAnswer{err: store.ErrUnavailable}, scriptedAnswer{at: 11})
	for range 4 {
		f.logTransition(f.step(t.Context()))
	}
	if want := []time.Duration{feedWait, probeWait, probeWait}; len(source.waits) != 3 || source.waits[0] != want[0] || source.waits[2] != want[2] {
		t.Errorf("waits %v, want %v", source.waits, want)
	}
	var events []string
	for _, e := range hook.AllEntries() {
		events = append(events, e.Message)
	}
	if len(events) != 3 || events[1] != "store_lost" || events[2] != "store_back" {
		t.Errorf("events %v, want one for the start and one for the end of the outage", events)
	}
}

// slowLinkSource is a source whose catalog takes 3 seconds on a slow link.
type slowLinkSource struct{ scripted }

func (n *slowLinkSource) Newest(ctx context.Context) (catalog.Update, error) {
	select {
	case <-time.After(3 * time.Second):
		return n.scripted.Newest(ctx)
	case <-ctx.Done():
		return catalog.Update{}, store.ErrUnknown
	}
}

// Guards against an instance on a slow link that never gets a large configuration into force.
func TestLargeCatalogIsReadInOneAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := logtest.NewNullLogger()
		source := &slowLinkSource{scripted{answers: []scriptedAnswer{{version: 1, at: 10}}}}
		f := newCatalogFollower(newCatalogReader(source, &catalog.Current{}, log), nil, access.Policy{}, log)
		if err := f.step(t.Context()); err != nil || f.reader.current.Get() == nil || f.reader.current.Get().Version != 1 {
			t.Errorf("error %v, catalog %+v", err, f.reader.current.Get())
		}
	})
}
