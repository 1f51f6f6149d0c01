package cellowner

import (
	"testing"
	"testing/synctest"
	"time"

	"gentianstand/internal/access"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/runner"
	"gentianstand/internal/store"
)

const shownJob = "00000000000000aa"

// runningJob returns an owner of one stored job, the store, and what ends the only task of the job.
func runningJob(t *testing.T) (o *Owner, rows *delayingStore, end func()) {
	t.Helper()
	client := &lossyWorker{}
	o, order := ownerOfOne(t, client)
	rows = &delayingStore{rows: map[string]store.Row{}}
	o.deps.Store = rows
	o.deps.Jobs = celljobs.New(store.NewMonitored(rows), "cell-0")
	if _, err := o.deps.Jobs.Create(t.Context(), &job.Record{ID: shownJob, Steps: []job.Step{{Count: 1}}}); err != nil {
		t.Fatal(err)
	}
	o.start(t.Context(), order)
	o.pollWorker(t, client)
	return o, rows, func() {
		ended := []runner.End{{Sequence: 1, Task: order.Start.Task, Run: order.Start.Run, Kind: runner.Done}}
		o.cell.Reported("w", runner.Report{Clock: 2 * time.Minute, Ended: ended}, time.Now(), time.Now())
	}
}

// cancelUnheard stores a cancellation of which the owner is not told.
func cancelUnheard(t *testing.T, o *Owner) {
	t.Helper()
	if known, err := o.deps.Jobs.Cancel(t.Context(), access.Caller{Anonymous: true}, shownJob, true); err != nil || !known {
		t.Fatalf("cancel: known %v, error %v", known, err)
	}
}

// checkStoredState checks the state according to the store.
func checkStoredState(t *testing.T, o *Owner, want job.State) {
	t.Helper()
	if status, _, err := o.deps.Jobs.Status(t.Context(), shownJob); err != nil || status.State != want {
		t.Errorf("state %q in the store, error %v, want %s", status.State, err, want)
	}
}

// commitAll commits until nothing is left, and checks the state that the owner shows then.
func commitAll(t *testing.T, o *Owner, want job.State) {
	t.Helper()
	for range 5 {
		if o.commitOnce(t.Context()) == nothingToCommit {
			if status, _ := o.cell.Status(shownJob); status.State != want {
				t.Errorf("state %q at the owner, want %s", status.State, want)
			}
			return
		}
	}
	t.Error("there is always something left to commit")
}

// Guards against a job that is shown as cancelled and later as completed: the owner was not told of the
// cancellation, and the state was read from the store.
func TestJobThatWasShownAsCancelledIsNotCompleted(t *testing.T) {
	o, _, end := runningJob(t)
	cancelUnheard(t, o)
	checkStoredState(t, o, job.Cancelled)
	end()
	commitAll(t, o, job.Cancelled)
	checkStoredState(t, o, job.Cancelled)
}

// Guards against a job that is shown as cancelled and later as completed: the owner is storing that it
// is completed when the cancellation arrives.
func TestJobThatIsCancelledWhileItsEndIsStoredHasOneFinalState(t *testing.T) {
	o, _, end := runningJob(t)
	end()
	cancelUnheard(t, o)
	checkStoredState(t, o, job.Cancelled)
	o.Cancelled(shownJob)
	commitAll(t, o, job.Cancelled)
	checkStoredState(t, o, job.Cancelled)
}

// Guards against a job that is shown as completed and later as cancelled: the answer to the write of its
// end was lost before it was cancelled.
func TestJobWhoseEndIsStoredWithoutAnAnswerStaysCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, rows, end := runningJob(t)
		end()
		rows.delay = true
		if got := o.commitOnce(t.Context()); got != notCommitted {
			t.Fatalf("commit without an answer: result %v", got)
		}
		rows.delay = false
		if _, err := rows.apply(rows.delayed[0]); err != nil {
			t.Fatal(err)
		}
		cancelUnheard(t, o)
		// A reader that saw no final state yet stores the mark late.
		rows.put(celljobs.TableProgress, celljobs.MarkKey(shownJob))
		checkStoredState(t, o, job.Completed)
		commitAll(t, o, job.Completed)
		checkStoredState(t, o, job.Completed)
	})
}

// Guards against a job that is shown as cancelled although it was completed: the cancellation reaches
// only an owner that has been superseded.
func TestSupersededOwnerDoesNotShowACancellation(t *testing.T) {
	o, rows, _ := runningJob(t)
	o.claim = store.Check{Table: "cells", Key: "owner", Version: 1}
	rows.put("cells", "owner")
	cancelUnheard(t, o)
	o.Cancelled(shownJob)
	if got := o.commitOnce(t.Context()); got != claimLost {
		t.Fatalf("commit under a lost claim: result %v", got)
	}
	if status, _ := o.cell.Status(shownJob); status.State.Final() {
		t.Errorf("shown as %s", status.State)
	}
}

// put writes a row without a value.
func (s *delayingStore) put(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[key] = store.Row{Table: table, Key: key, Version: s.version}
}
