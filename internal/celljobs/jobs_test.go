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

// lossyStore is a store with one row. It loses the answers to its first writes, or refuses them.
type lossyStore struct {
	store.Store
	row    store.Row
	losses int
	refuse int
	calls  int
}

func (l *lossyStore) Commit(_ context.Context, tx store.Tx) (uint64, error) {
	l.calls++
	if l.refuse > 0 {
		l.refuse--
		return 0, store.ErrUnavailable
	}
	if len(tx.Checks) > 0 && l.row.Version != tx.Checks[0].Version {
		return 0, &store.ConflictError{Rows: []store.Row{l.row}}
	}
	l.row = store.Row{Table: tx.Puts[0].Table, Key: tx.Puts[0].Key, Value: tx.Puts[0].Value, Version: l.row.Version + 1}
	if l.losses > 0 {
		l.losses--
		return 0, store.ErrUnknown
	}
	return l.row.Version, nil
}

func newJobs(l *lossyStore) *Jobs { return New(store.NewMonitored(l), "cell") }

func record() *job.Record {
	return &job.Record{ID: "5c0e7a21d94b36f8", Steps: []job.Step{{Count: 1}}}
}

// A lost answer must be resolved by another attempt: a caller got the answer that its job was not
// accepted, and it ran; or a job began seconds late.
func TestCreateResolvesALostAnswer(t *testing.T) {
	l := &lossyStore{losses: 1}
	created, err := newJobs(l).Create(t.Context(), record())
	if err != nil || !created {
		t.Errorf("created %v, error %v; want accepted as new", created, err)
	}
	if l.calls != 2 {
		t.Errorf("%d calls, want 2", l.calls)
	}
}

// The record of an earlier submission must not count as new; otherwise a task could run twice
// around a takeover.
func TestRecordOfAnEarlierSubmissionIsNotNew(t *testing.T) {
	l := &lossyStore{}
	jobs := newJobs(l)
	first, repeat := record(), record()
	first.Submission, repeat.Submission = 1, 2
	if created, err := jobs.Create(t.Context(), first); err != nil || !created {
		t.Fatalf("first: created %v, error %v", created, err)
	}
	l.losses = 1
	if created, err := jobs.Create(t.Context(), repeat); err != nil || created {
		t.Errorf("repeat: created %v, error %v; want accepted, but not as new", created, err)
	}
}

// slowStore answers each write after a given time.
type slowStore struct {
	*lossyStore
	mu    sync.Mutex
	takes []time.Duration
}

func (s *slowStore) Commit(ctx context.Context, tx store.Tx) (uint64, error) {
	s.mu.Lock()
	version, err := s.lossyStore.Commit(ctx, tx)
	takes := s.takes[min(s.calls, len(s.takes))-1]
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return 0, store.ErrUnknown
	case <-time.After(takes):
		return version, err
	}
}

// An attempt must continue while the next one is in progress: in the first second of a slow
// store, jobs were accepted after 1.3 s instead of 0.7 s.
func TestAnswerToTheFirstAttemptCountsWhileTheSecondIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowStore{lossyStore: &lossyStore{}, takes: []time.Duration{700 * time.Millisecond}}
		began := time.Now()
		created, err := New(store.NewMonitored(s), "cell").Create(t.Context(), record())
		if err != nil || !created {
			t.Errorf("created %v, error %v", created, err)
		}
		if took := time.Since(began); took != 700*time.Millisecond {
			t.Errorf("took %v, want as long as the first answer", took)
		}
	})
}

// An attempt without an answer must not delay the next one: a caller waited for its whole
// deadline although the store was healthy.
func TestSecondAttemptSucceedsOnUnresponsiveConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowStore{lossyStore: &lossyStore{}, takes: []time.Duration{time.Hour, 4 * time.Millisecond}}
		began := time.Now()
		created, err := New(store.NewMonitored(s), "cell").Create(t.Context(), record())
		if err != nil || !created {
			t.Errorf("created %v, error %v", created, err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("took %v", took)
		}
	})
}

// A refusal after a lost answer leaves the outcome unknown: a caller got the answer "never runs"
// for a job that ran.
func TestRefusalAfterALostAnswerIsNoRefusal(t *testing.T) {
	l := &lossyStore{losses: 1}
	jobs := newJobs(l)
	ctx, cancel := context.WithTimeout(t.Context(), 3*unknownRetryDelay)
	defer cancel()
	l.row.Version = 0
	first := &refusesAfterLoss{lossyStore: l}
	jobs.store = store.NewMonitored(first)
	_, err := jobs.Create(ctx, record())
	if errors.Is(err, store.ErrUnavailable) || !errors.Is(err, store.ErrUnknown) {
		t.Errorf("error %v, want an unknown outcome", err)
	}
}

// refusesAfterLoss loses the answer to the first write and refuses all others.
type refusesAfterLoss struct{ *lossyStore }

func (r *refusesAfterLoss) Commit(ctx context.Context, tx store.Tx) (uint64, error) {
	if r.calls > 0 {
		r.refuse = 1
	}
	return r.lossyStore.Commit(ctx, tx)
}

func TestRefusalIsReturnedAtOnce(t *testing.T) {
	l := &lossyStore{refuse: 1}
	began := time.Now()
	_, err := newJobs(l).Create(t.Context(), record())
	if !errors.Is(err, store.ErrUnavailable) || l.calls != 1 {
		t.Errorf("error %v after %d calls in %v", err, l.calls, time.Since(began))
	}
}

func TestRecordsAreSpreadOverPartitions(t *testing.T) {
	jobs := newJobs(&lossyStore{})
	seen := map[string]bool{}
	for n := range 2000 {
		id := string([]byte{byte('a' + n%16), byte('0' + n/16%10), byte('0' + n/160)})
		p := jobs.RecordPartition(id)
		if !jobs.Owns(p) {
			t.Fatalf("partition %q is not the cell's", p)
		}
		seen[p] = true
	}
	if len(seen) < jobPartitions*3/4 {
		t.Errorf("2000 ids use %d of %d partitions", len(seen), jobPartitions)
	}
	if jobs.Owns("another/001") || jobs.Owns(jobs.ProgressPartition()) {
		t.Error("a partition that holds no records of the cell counts as one")
	}
}
