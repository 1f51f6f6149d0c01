package cellowner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"pgregory.net/rapid"

	"gentianstand/internal/access"
	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/resource"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
	"gentianstand/internal/store"
)

// shownStates is a model of one job, its owners and its readers.
type shownStates struct {
	rt     *rapid.T
	store  *fatedStore
	jobs   *celljobs.Jobs
	owners []*Owner
	end    runner.EndKind
	shown  job.State
}

// bubbleTB hides the deadline of a test, which a test with a simulated clock must not read.
type bubbleTB struct{ rapid.TB }

// TestModelShownStates runs random sequences of a cancellation, lost notifications, the end of the job,
// takeovers with the superseded owners still acting, and writes that are lost, late or refused. All final
// states that are shown must be the same, and at the end one must be shown.
func TestModelShownStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(rt *rapid.T) {
			m := newShownStates(rt)
			for range rapid.IntRange(4, 24).Draw(rt, "steps") {
				m.step()
			}
			m.finish()
		})
	})
}

func newShownStates(rt *rapid.T) *shownStates {
	s := &fatedStore{delayingStore: delayingStore{rows: map[string]store.Row{}}}
	m := &shownStates{rt: rt, store: s, jobs: celljobs.New(store.NewMonitored(s), "cell-0")}
	m.end = rapid.SampledFrom([]runner.EndKind{runner.Done, runner.Failed}).Draw(rt, "end")
	if _, err := m.jobs.Create(context.Background(), &job.Record{ID: shownJob, Queue: "q", Service: "desk", MaxAttempts: 1, Steps: []job.Step{{Count: 1}}}); err != nil {
		rt.Fatal(err)
	}
	m.takeOver()
	return m
}

func (m *shownStates) step() {
	o := rapid.SampledFrom(m.owners).Draw(m.rt, "owner")
	switch rapid.SampledFrom([]string{"cancel", "tell", "end", "commit", "commit", "read", "read", "ask", "ask", "late write", "take over"}).Draw(m.rt, "step") {
	case "cancel":
		m.drawFates()
		if _, err := m.jobs.Cancel(context.Background(), access.Caller{Anonymous: true}, shownJob, true); err != nil {
			m.rt.Logf("cancel: %v", err)
		}
	case "tell":
		if _, stored := m.store.row(celljobs.CancelKey(shownJob)); stored {
			o.Cancelled(shownJob)
		}
	case "end":
		m.report(o)
	case "commit":
		m.drawFates()
		m.rt.Logf("commit: %v", o.commitOnce(context.Background()))
	case "read":
		m.drawFates()
		m.drawBetween(o)
		m.read()
	case "ask":
		status, _ := o.cell.Status(shownJob)
		m.show(status.State)
	case "late write":
		m.applyLateWrite(rapid.IntRange(0, 3).Draw(m.rt, "late"))
	case "take over":
		m.takeOver()
	}
	m.store.fates, m.store.between = nil, nil
}

func (m *shownStates) drawFates() {
	all := []writeFate{answered, answered, appliedWithoutAnswer, delayedWrite, refusedWrite}
	m.store.fates = rapid.SliceOfN(rapid.SampledFrom(all), 3, 3).Draw(m.rt, "fates")
}

// drawBetween draws what happens between the calls of a reader.
func (m *shownStates) drawBetween(o *Owner) {
	m.store.callsBefore = rapid.IntRange(0, 6).Draw(m.rt, "calls before")
	m.store.between = rapid.SampledFrom([]func(){
		nil,
		func() { o.commitOnce(context.Background()) },
		func() { m.applyLateWrite(0) },
	}).Draw(m.rt, "between")
}

// report has an owner read the end of the only task.
func (m *shownStates) report(o *Owner) {
	ended := []runner.End{{Sequence: 1, Task: shownJob + ".0.0.0", Run: 1, Kind: m.end}}
	o.cell.Reported("w", runner.Report{Clock: time.Minute, Ended: ended}, time.Now(), time.Now())
}

// applyLateWrite applies the i-th of the writes that are under way.
func (m *shownStates) applyLateWrite(i int) {
	if i >= len(m.store.delayed) {
		return
	}
	_, err := m.store.apply(m.store.delayed[i])
	m.rt.Logf("late write %d: %v", i, err)
	m.store.delayed = append(m.store.delayed[:i:i], m.store.delayed[i+1:]...)
}

// read shows the state according to the store.
func (m *shownStates) read() {
	status, _, err := m.jobs.Status(context.Background(), shownJob)
	if err == nil {
		m.show(status.State)
	}
}

// show checks a state that a caller is shown.
func (m *shownStates) show(state job.State) {
	m.rt.Logf("shown as %s", state)
	if !state.Final() {
		return
	}
	if m.shown != "" && m.shown != state {
		m.rt.Fatalf("shown as %s, then as %s", m.shown, state)
	}
	m.shown = state
}

// takeOver makes a new owner claim and load the cell. The ones before it may still act.
func (m *shownStates) takeOver() {
	m.store.put("cells", "owner")
	claim, _ := m.store.row("owner")
	log, _ := logtest.NewNullLogger()
	o := New(cell.Settings{Term: uint64(len(m.owners) + 1), Lease: time.Second}, store.Check{Table: "cells", Key: "owner", Version: claim.Version},
		Deps{Store: m.store, Jobs: m.jobs, Leadership: confirmedLeadership{}, Metrics: NewMetrics(metrics.NewSet()), Log: log})
	var jobs, progress []store.Row
	for _, row := range m.store.rows {
		switch row.Table {
		case celljobs.TableJobs:
			jobs = append(jobs, row)
		case celljobs.TableProgress:
			progress = append(progress, row)
		}
	}
	o.loadJobs(jobs, progress)
	sequence, _ := m.store.row(celljobs.SequenceKey)
	o.sequence = sequence.Version
	o.cell.SetRoster([]roster.Worker{{ID: "w", Service: "desk", Capacity: resource.Amount{MilliCPU: 1000, MemoryMiB: 1000}}}, time.Now())
	m.owners = append(m.owners, o)
}

// finish ends all faults. The last owner must store and show a final state.
func (m *shownStates) finish() {
	o := m.owners[len(m.owners)-1]
	m.report(o)
	for range 10 {
		if o.commitOnce(context.Background()) == nothingToCommit {
			break
		}
	}
	status, _ := o.cell.Status(shownJob)
	if !status.State.Final() {
		m.rt.Fatalf("%s at the end", status.State)
	}
	m.show(status.State)
	m.read()
}
