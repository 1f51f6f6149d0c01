package cell

import (
	"fmt"
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/roster"
)

// idleSite returns a site of idle workers. All that are polled have reported.
func idleSite(t *testing.T, workers, spare int) *site {
	var all []roster.Worker
	for n := range workers {
		w := usualWorker(fmt.Sprintf("w%02d", n))
		w.Rack = fmt.Sprintf("r%d", n/4)
		all = append(all, w)
	}
	settings := Settings{Term: 1, Lease: 3500 * time.Millisecond, StopGrace: 900 * time.Millisecond, SpareWorkers: spare}
	s := newSiteWith(t, settings, all...)
	s.reportAll()
	return s
}

// reportAll has every polled worker report.
func (s *site) reportAll() {
	for _, id := range s.cell.WorkersToPoll() {
		s.report(id)
	}
}

// wide returns a step whose tasks fill a worker each.
func wide(count int) job.Step {
	st := step(count)
	st.Need.MilliCPU = 16000
	return st
}

// startAll plans until no more tasks start, and returns how many did.
func (s *site) startAll() int {
	n := 0
	for range 5 {
		for _, o := range s.plan() {
			s.confirm(o)
			n++
		}
		s.commit()
		s.reportAll()
	}
	return n
}

// Load: 20 workers, of which 2 are needed. Polling the others only costs processor time.
func TestIdleWorkersAreParked(t *testing.T) {
	s := idleSite(t, 20, 4)
	if n := s.startAll(); n != 0 {
		t.Fatalf("%d starts without a job", n)
	}
	if got := len(s.cell.WorkersToPoll()); got != 4 {
		t.Errorf("%d idle workers are polled, want 4", got)
	}
	s.cell.Add(s.record(1, wide(2)), true)
	if n := s.startAll(); n != 2 {
		t.Errorf("%d starts, want 2", n)
	}
}

// Load: a step that needs more workers than are kept ready.
func TestParkedWorkersWakeForAWideStep(t *testing.T) {
	s := idleSite(t, 20, 4)
	s.startAll()
	s.cell.Add(s.record(1, wide(17)), true)
	if n := s.startAll(); n != 17 {
		t.Errorf("%d starts, want 17", n)
	}
}

// Guards against letters that wait although thousands of workers are idle: free capacity within the
// urgent reserve is of no use to them, so that parked workers must wake.
func TestUrgentReserveIsNoFreeCapacityForOthers(t *testing.T) {
	s := idleSite(t, 20, 1)
	small := s.record(1, step(15))
	s.cell.Add(small, true)
	s.startAll()
	letters := s.record(2, step(4))
	letters.Priority = 2
	s.cell.Add(letters, true)
	if n := s.startAll(); n != 4 {
		t.Errorf("%d letters were started, want 4", n)
	}
}

// Guards against tasks that run far from their data, 3 times as long, although workers near the
// data are idle.
func TestParkedWorkersWakeNearTheData(t *testing.T) {
	s := idleSite(t, 20, 2)
	s.startAll()
	near := step(2)
	near.DataRack = "r3"
	s.cell.Add(s.record(1, near), true)
	for range 5 {
		for _, o := range s.plan() {
			if rack := s.cell.workers[o.Worker.ID].Rack; rack != "r3" {
				t.Errorf("%s was started in rack %s, want r3", o.Start.Task, rack)
			}
		}
		s.commit()
		s.reportAll()
	}
}

// Guards against a new owner of thousands of workers that places nothing for seconds, in which
// leases expire.
func TestNewOwnerPollsOnlyWorkersInUse(t *testing.T) {
	before := idleSite(t, 20, 2)
	for range 4 {
		before.startAll()
		before.advance(time.Second)
		before.reportAll()
	}
	chunks := map[int]WorkerChunk{}
	for id := range before.cell.workers {
		before.cell.dirtyChunks.mark(id)
	}
	for _, chunk := range before.cell.NextCommit(100).Chunks {
		chunks[chunk.Number] = chunk
	}
	s := idleSite(t, 20, 2)
	for _, chunk := range chunks {
		s.cell.LoadWorkers(chunk.Workers, s.now)
	}
	if got := len(s.cell.WorkersToPoll()); got > 4 {
		t.Errorf("%d workers are polled, want the 2 that are stored and the 2 that are kept ready", got)
	}
	s.reportAll()
	s.plan()
	if s.cell.recovering {
		t.Error("not recovered although all workers in use have reported")
	}
}

// Guards against workers that are woken and parked repeatedly.
func TestAWorkerIsParkedOnlyAfterAWhile(t *testing.T) {
	s := idleSite(t, 6, 1)
	s.cell.Add(s.record(1, wide(5)), true)
	s.startAll()
	awake := len(s.cell.WorkersToPoll())
	for id, runs := range s.runs {
		for _, r := range runs {
			s.end(id, r.Task, r.Run, "done")
		}
	}
	s.advance(parkAfter / 2)
	s.reportAll()
	s.startAll()
	if got := len(s.cell.WorkersToPoll()); got != awake {
		t.Errorf("%d of %d workers are awake after %v", got, awake, parkAfter/2)
	}
	for range 4 {
		s.advance(parkPeriod)
		s.reportAll()
		s.startAll()
	}
	if got := len(s.cell.WorkersToPoll()); got != 1 {
		t.Errorf("%d workers are awake after 4 more parking periods, want 1", got)
	}
}

// Guards against a task that runs twice after a take-over: a worker that is parked and woken again
// is stored as parked.
func TestAWokenWorkerGetsNothingBeforeItIsStored(t *testing.T) {
	s := idleSite(t, 2, 1)
	for _, w := range s.cell.workers {
		if w.parked {
			s.cell.unpark(w, s.now)
		}
	}
	s.commit()
	s.reportAll()
	s.plan()
	for id := range s.cell.workers {
		s.cell.dirtyChunks.mark(id)
	}
	underWay := s.cell.NextCommit(100)
	for range 4 {
		s.advance(parkPeriod)
		s.reportAll()
		s.plan()
	}
	if got := len(s.cell.WorkersToPoll()); got != 1 {
		t.Fatalf("%d workers are awake, want 1", got)
	}
	s.cell.Committed(underWay)
	s.commit()
	s.cell.Add(s.record(1, wide(2)), true)
	started := len(s.plan())
	s.reportAll()
	if started += len(s.plan()); started != 1 {
		t.Errorf("%d starts before the woken worker is stored, want 1", started)
	}
	s.commit()
	if got := len(s.plan()); got != 1 {
		t.Errorf("%d starts after it is stored, want 1", got)
	}
}
