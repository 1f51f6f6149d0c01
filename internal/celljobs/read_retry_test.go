package celljobs

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

// silentStore answers no read over its first connections.
type silentStore struct {
	keyedStore
	mu     sync.Mutex
	silent int
	// takes is how long each other read takes.
	takes time.Duration
	// err, if not nil, is the result of every read.
	err   error
	calls int
}

func (s *silentStore) Get(ctx context.Context, table, partition, key string) (store.Row, error) {
	takes := s.next()
	select {
	case <-ctx.Done():
		return store.Row{}, store.ErrUnknown
	case <-time.After(takes):
	}
	if s.err != nil {
		return store.Row{}, s.err
	}
	return s.keyedStore.Get(ctx, table, partition, key)
}

// next counts a read and returns how long it takes.
func (s *silentStore) next() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.silent > 0 {
		s.silent--
		return time.Hour
	}
	return s.takes
}

// storedRows returns the rows of a job that was accepted.
func storedRows(t *testing.T) map[string]store.Row {
	t.Helper()
	value, err := job.EncodeRecord(record())
	if err != nil {
		t.Fatal(err)
	}
	key := JobKey(record().ID)
	return map[string]store.Row{TableJobs + key: {Key: key, Value: value, Version: 1}}
}

// checkRead checks that the state of the job is read within callerDeadline.
func (s *silentStore) checkRead(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callerDeadline)
	defer cancel()
	status, known, err := New(store.NewMonitored(s), "cell").Status(ctx, record().ID)
	if err != nil || !known || status.State != job.Queued {
		t.Errorf("%+v, known %v, %v", status, known, err)
	}
}

// callerDeadline is how long the callers of the tests wait.
const callerDeadline = 2750 * time.Millisecond

// Guards against callers who wait for their whole deadline, and get no answer, because the connections to the
// store were silent while new ones worked.
func TestStateIsReadBesideSilentConnections(t *testing.T) {
	for silent := range 4 {
		synctest.Test(t, func(t *testing.T) {
			s := &silentStore{silent: silent, takes: 3 * time.Millisecond, keyedStore: keyedStore{rows: storedRows(t)}}
			s.checkRead(t)
		})
	}
}

// Guards against reads that are given up, or doubled without end, in a store that has become slow.
func TestStateIsReadInASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silentStore{takes: 800 * time.Millisecond, keyedStore: keyedStore{rows: storedRows(t)}}
		s.checkRead(t)
		// The state takes three reads.
		if most := 3 * maxOpenReads; s.calls > most {
			t.Errorf("%d reads, want %d at most", s.calls, most)
		}
	})
}

// Guards against reads that burden a store that is out of service, and against refusals that come late.
func TestReadsOfAStoreOutOfService(t *testing.T) {
	for _, test := range []struct {
		err      error
		maxCalls int
	}{{store.ErrUnavailable, 1}, {store.ErrUnknown, 12}} {
		synctest.Test(t, func(t *testing.T) {
			s := &silentStore{err: test.err}
			ctx, cancel := context.WithTimeout(t.Context(), callerDeadline)
			defer cancel()
			_, _, err := New(store.NewMonitored(s), "cell").Status(ctx, record().ID)
			if !errors.Is(err, test.err) || s.calls > test.maxCalls {
				t.Errorf("%v after %d calls, want %v after %d at most", err, s.calls, test.err, test.maxCalls)
			}
		})
	}
}
