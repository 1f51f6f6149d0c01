package cellpeer

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/store"
)

// tableStore keeps one table in memory; it refuses every call while it is down.
type tableStore struct {
	store.Store
	mu      sync.Mutex
	rows    map[string]store.Row
	version uint64
	down    bool
}

func (s *tableStore) Commit(_ context.Context, tx store.Tx) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, store.ErrUnavailable
	}
	for _, c := range tx.Checks {
		if s.rows[c.Key].Version != c.Version {
			return 0, &store.ConflictError{}
		}
	}
	s.version++
	for _, p := range tx.Puts {
		s.rows[p.Key] = store.Row{Table: p.Table, Key: p.Key, Value: p.Value, Version: s.version}
	}
	for _, r := range tx.Removals {
		s.rows[r.Key] = store.Row{Table: r.Table, Key: r.Key, Version: s.version, Removed: true}
	}
	return s.version, nil
}

func (s *tableStore) Read(context.Context, string, string, string) (store.Page, error) {
	return s.since(0)
}

func (s *tableStore) Changes(_ context.Context, _ string, after uint64, _ time.Duration) (store.Page, error) {
	return s.since(after)
}

func (s *tableStore) since(after uint64) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Page{}, store.ErrUnavailable
	}
	page := store.Page{Version: s.version}
	for _, row := range s.rows {
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

func (s *tableStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *tableStore) has(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[name]
	return ok && !row.Removed
}

// running starts a directory. The returned function ends its process.
func running(s store.Store, name string) (*Directory, context.CancelFunc) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := NewDirectory(Instance{Name: name, Incarnation: name}, s, log)
	ctx, cancel := context.WithCancel(context.Background())
	go d.Run(ctx)
	return d, cancel
}

// Guards against rows of dead instances that accumulate over weeks: calls for advice fail
// one after the other, and submissions are refused although most instances have access to
// the store.
func TestDeadInstancesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &tableStore{rows: map[string]store.Row{}}
		alive, stopAlive := running(s, "alive")
		defer stopAlive()
		dead, kill := running(s, "dead")
		time.Sleep(5 * time.Minute)
		if len(alive.Others()) != 1 || len(dead.Others()) != 1 {
			t.Fatalf("after 5 minutes alive knows %v and dead knows %v", alive.Others(), dead.Others())
		}
		kill()
		time.Sleep(staleAfter + renewPeriod)
		if others := alive.Others(); len(others) > 0 {
			t.Errorf("alive still knows %v", others)
		}
		time.Sleep(removeAfter)
		if s.has("dead") {
			t.Error("the row of the dead instance was not removed")
		}
	})
}

// Guards against instances that drop one another from the list in a long outage of the
// store, when no row is renewed.
func TestInstancesStayKnownThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &tableStore{rows: map[string]store.Row{}}
		a, stopA := running(s, "a")
		b, stopB := running(s, "b")
		defer stopA()
		defer stopB()
		time.Sleep(time.Minute)
		s.setDown(true)
		for range 30 {
			time.Sleep(time.Minute)
			if len(a.Others()) != 1 || len(b.Others()) != 1 {
				t.Fatalf("in the outage a knows %v and b knows %v", a.Others(), b.Others())
			}
		}
		s.setDown(false)
		for range 30 {
			time.Sleep(10 * time.Second)
			if len(a.Others()) != 1 || len(b.Others()) != 1 {
				t.Fatalf("after the outage a knows %v and b knows %v", a.Others(), b.Others())
			}
		}
	})
}

// Guards against instances that are gone and stay in the list for good, because each short outage of the store
// makes all rows count as renewed: takeovers, calls for advice and links wait for the dead ones.
func TestDeadInstancesAreForgottenBesideOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &tableStore{rows: map[string]store.Row{}}
		a, stopA := running(s, "a")
		b, stopB := running(s, "b")
		defer stopA()
		defer stopB()
		_, kill := running(s, "dead")
		time.Sleep(time.Minute)
		kill()
		for range 4 {
			s.setDown(true)
			time.Sleep(20 * time.Second)
			s.setDown(false)
			time.Sleep(40 * time.Second)
			if !lists(a, "b") || !lists(b, "a") {
				t.Fatalf("a knows %v and b knows %v", a.Others(), b.Others())
			}
		}
		if lists(a, "dead") || lists(b, "dead") {
			t.Error("the dead instance is still known")
		}
	})
}

func lists(d *Directory, name string) bool {
	return slices.ContainsFunc(d.Others(), func(i Instance) bool { return i.Name == name })
}
