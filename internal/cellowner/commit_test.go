package cellowner

import (
	"context"
	"sync"
	"testing"
	"time"

	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/runner"
	"gentianstand/internal/store"
)

// lateStore applies transactions, or keeps them back and leaves them unanswered.
type lateStore struct {
	store.Store
	mu      sync.Mutex
	rows    map[string]store.Row
	version uint64
	keep    bool
	kept    []store.Tx
}

func (s *lateStore) Commit(_ context.Context, tx store.Tx) (uint64, error) {
	if s.keep {
		s.kept = append(s.kept, tx)
		return 0, store.ErrUnknown
	}
	return s.apply(tx)
}

// row returns a row that an owner may be writing at the same time.
func (s *lateStore) row(key string) (row store.Row, there bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, there = s.rows[key]
	return row, there
}

func (s *lateStore) apply(tx store.Tx) (uint64, error) {
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

// Failure: a task that had ended ran again after a take-over.
func TestALateCommitHasNoEffect(t *testing.T) {
	client := &losing{}
	o, order := ownerOfOne(t, client)
	rows := &lateStore{rows: map[string]store.Row{}}
	o.deps.Store = rows
	o.deps.Jobs = celljobs.New(store.NewMonitored(rows), "cell-0")
	o.start(t.Context(), order)
	client.running = []runner.RunState{{Task: order.Start.Task, Run: order.Start.Run, Percent: 50, Checkpoint: "half"}}
	o.look(t, client)
	o.cell.Cancel("00000000000000aa", time.Now())
	rows.keep = true
	if got := o.commitOnce(t.Context()); got != notCommitted {
		t.Fatalf("the commit without an answer: %v", got)
	}
	rows.keep = false
	if got := o.commitOnce(t.Context()); got != committed {
		t.Fatalf("the next commit: %v", got)
	}
	before := rows.version
	if _, err := rows.apply(rows.kept[0]); err == nil || rows.version != before {
		t.Error("the late commit took effect")
	}
}

// Failure: nothing is stored any more after one lost answer.
func TestCommitsGoOnAfterALostAnswer(t *testing.T) {
	client := &losing{}
	o, _ := ownerOfOne(t, client)
	rows := &lateStore{rows: map[string]store.Row{}, keep: true}
	o.deps.Store = rows
	o.deps.Jobs = celljobs.New(store.NewMonitored(rows), "cell-0")
	o.cell.Cancel("00000000000000aa", time.Now())
	o.commitOnce(t.Context())
	rows.keep = false
	if _, err := rows.apply(rows.kept[0]); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		o.commitOnce(t.Context())
	}
	if got := o.commitOnce(t.Context()); got != nothingToCommit {
		t.Errorf("still to commit: %v", got)
	}
	if status, _ := o.cell.Status("00000000000000aa"); status.State != job.Cancelled {
		t.Errorf("state %s", status.State)
	}
}

// look has the owner take in what its worker reports.
func (o *Owner) look(t *testing.T, client runner.Client) {
	t.Helper()
	sentAt := time.Now()
	report, err := client.Poll(t.Context(), runner.Target{}, runner.Poll{})
	if err != nil {
		t.Fatal(err)
	}
	o.cell.Reported("w", report, sentAt, time.Now())
}
