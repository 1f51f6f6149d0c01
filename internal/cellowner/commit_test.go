package cellowner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/runner"
	"gentianstand/internal/store"
)

// delayingStore applies transactions, or delays them and returns no answer.
type delayingStore struct {
	store.Store
	mu      sync.Mutex
	rows    map[string]store.Row
	version uint64
	delay   bool
	delayed []store.Tx
}

func (s *delayingStore) Commit(_ context.Context, tx store.Tx) (uint64, error) {
	if s.delay {
		s.delayed = append(s.delayed, tx)
		return 0, store.ErrUnknown
	}
	return s.apply(tx)
}

// row returns a row, which an owner may be writing at the same time.
func (s *delayingStore) row(key string) (row store.Row, exists bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, exists = s.rows[key]
	return row, exists
}

func (s *delayingStore) Get(_ context.Context, _, _, key string) (store.Row, error) {
	row, _ := s.row(key)
	return row, nil
}

func (s *delayingStore) apply(tx store.Tx) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var now []store.Row
	changed := false
	for _, c := range tx.Checks {
		row := s.rows[c.Key]
		row.Table, row.Key = c.Table, c.Key
		now = append(now, row)
		changed = changed || row.Version != c.Version
	}
	if changed {
		return 0, &store.ConflictError{Rows: now}
	}
	s.version++
	for _, p := range tx.Puts {
		s.rows[p.Key] = store.Row{Table: p.Table, Key: p.Key, Value: p.Value, Version: s.version}
	}
	return s.version, nil
}

// A commit without an answer that takes effect after a later commit must not restore old
// progress: a task that had ended ran again after a takeover.
func TestALateCommitHasNoEffect(t *testing.T) {
	client := &lossyWorker{}
	o, order := ownerOfOne(t, client)
	rows := &delayingStore{rows: map[string]store.Row{}}
	o.deps.Store = rows
	o.deps.Jobs = celljobs.New(store.NewMonitored(rows), "cell-0")
	o.start(t.Context(), order)
	client.running = []runner.RunState{{Task: order.Start.Task, Run: order.Start.Run, Percent: 50, Checkpoint: "half"}}
	o.pollWorker(t, client)
	o.cell.Cancel("00000000000000aa", time.Now())
	rows.delay = true
	if got := o.commitOnce(t.Context()); got != notCommitted {
		t.Fatalf("commit without an answer: result %v", got)
	}
	rows.delay = false
	if got := o.commitOnce(t.Context()); got != committed {
		t.Fatalf("next commit: result %v", got)
	}
	before := rows.version
	if _, err := rows.apply(rows.delayed[0]); err == nil || rows.version != before {
		t.Error("the delayed commit took effect")
	}
}

// An owner must be able to commit after one lost answer, which leaves it with an outdated version
// of the sequence row.
func TestCommitsGoOnAfterALostAnswer(t *testing.T) {
	client := &lossyWorker{}
	o, _ := ownerOfOne(t, client)
	rows := &delayingStore{rows: map[string]store.Row{}, delay: true}
	o.deps.Store = rows
	o.deps.Jobs = celljobs.New(store.NewMonitored(rows), "cell-0")
	o.cell.Cancel("00000000000000aa", time.Now())
	o.commitOnce(t.Context())
	rows.delay = false
	if _, err := rows.apply(rows.delayed[0]); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		o.commitOnce(t.Context())
	}
	if got := o.commitOnce(t.Context()); got != nothingToCommit {
		t.Errorf("last commit: result %v, want nothing to commit", got)
	}
	if status, _ := o.cell.Status("00000000000000aa"); status.State != job.Cancelled {
		t.Errorf("state %s", status.State)
	}
}

// pollWorker polls the worker and passes its report to the cell.
func (o *Owner) pollWorker(t *testing.T, client runner.Client) {
	t.Helper()
	sentAt := time.Now()
	report, err := client.Poll(t.Context(), runner.Target{}, runner.Poll{})
	if err != nil {
		t.Fatal(err)
	}
	o.cell.Reported("w", report, sentAt, time.Now())
}

// Guards against commits that the store refuses because they have too many entries: each job that ends
// takes two.
func TestCommitOfManyEndsFitsOneTransaction(t *testing.T) {
	o := ownerBeforeItsPlan(t, &lossyWorker{})
	o.deps.Jobs = celljobs.New(store.NewMonitored(&delayingStore{}), "cell-0")
	var ends []runner.End
	for n := range uint64(2 * store.MaxEntries) {
		id := fmt.Sprintf("%016x", n)
		o.cell.Add(&job.Record{ID: id, Queue: "q", Service: "desk", MaxAttempts: 1, Steps: []job.Step{{Count: 1}}}, true)
		ends = append(ends, runner.End{Sequence: n + 1, Task: id + ".0.0.0", Run: 1, Kind: runner.Done})
	}
	o.cell.Reported("w", runner.Report{Clock: 2 * time.Minute, Ended: ends}, time.Now(), time.Now())
	stored := 0
	for commit := o.cell.NextCommit(maxCommitPuts); commit != nil; commit = o.cell.NextCommit(maxCommitPuts) {
		tx, err := o.commitTx(commit)
		if entries := len(tx.Checks) + len(tx.Puts); err != nil || entries > store.MaxEntries {
			t.Fatalf("%d entries, error %v", entries, err)
		}
		stored += len(commit.Items)
		o.cell.Committed(commit)
	}
	if stored != len(ends) {
		t.Errorf("%d jobs stored, want %d", stored, len(ends))
	}
}
