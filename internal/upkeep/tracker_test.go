package upkeep

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is a set of machines whose state the tests set directly.
type fleet struct {
	listed map[string]Machine
	loads  map[string]Load
	names  []string
}

func newFleet(n int) *fleet {
	f := &fleet{listed: map[string]Machine{}, loads: map[string]Load{}}
	for i := range n {
		name := fmt.Sprintf("m-%d", i)
		f.names = append(f.names, name)
		f.listed[name] = Machine{Name: name, Worker: "w-" + name, Up: true}
	}
	return f
}

func (f *fleet) load(worker string) Load { return f.loads[worker] }

func (f *fleet) tracker(atOnce int, within time.Duration) *Tracker {
	return NewTracker(Wave{Number: 1, Machines: f.names, TargetDuration: within, MaxConcurrent: atOnce}, 2*time.Second, nil, start)
}

// set changes a machine's state.
func (f *fleet) set(name, worker string, up bool) {
	f.listed[name] = Machine{Name: name, Worker: worker, Up: up, InMaintenance: !up}
}

// Guards against a maintenance that ends runs which were assigned to the worker between its
// choice for evacuation and the order.
func TestUpkeepIsNotOrderedInThePassThatChoosesAWorker(t *testing.T) {
	f := newFleet(1)
	tracker := f.tracker(1, 10*time.Second)
	if plan := tracker.Plan(start, f.listed, f.load); len(plan.Begin) > 0 || len(plan.Evacuate) != 1 {
		t.Errorf("first pass: %+v", plan)
	}
	if plan := tracker.Plan(start.Add(time.Second), f.listed, f.load); len(plan.Begin) != 1 {
		t.Errorf("second pass: %+v", plan)
	}
}

// Guards against an outage of a step: too many of its long-running tasks are ended together.
func TestProtectedRunsHoldAnUpkeepBack(t *testing.T) {
	f := newFleet(1)
	f.loads["w-m-0"] = Load{Runs: 1, Protected: true}
	tracker := f.tracker(1, 10*time.Second)
	tracker.Plan(start, f.listed, f.load)
	if plan := tracker.Plan(start.Add(time.Hour), f.listed, f.load); len(plan.Begin) > 0 {
		t.Error("maintenance ordered while a protected run remains")
	}
	f.loads["w-m-0"] = Load{Runs: 1}
	if plan := tracker.Plan(start.Add(evacuationTimeout), f.listed, f.load); len(plan.Begin) != 1 {
		t.Error("maintenance not ordered after the evacuation timeout without a protected run")
	}
}

// Guards against a wave that is reported as completed without the maintenance of a machine
// whose order was not answered.
func TestOrderWithoutAnAnswerIsRepeated(t *testing.T) {
	f := newFleet(2)
	tracker := f.tracker(1, 10*time.Second)
	tracker.Plan(start, f.listed, f.load)
	now := start.Add(time.Second)
	first := tracker.Plan(now, f.listed, f.load)
	tracker.MarkOrdered(first.Begin[0], now)
	tracker.MarkUnanswered(first.Begin[0], now)
	now = now.Add(retryInterval)
	again := tracker.Plan(now, f.listed, f.load)
	if again.Completed || len(again.Begin) != 1 || again.Begin[0] != first.Begin[0] {
		t.Errorf("after an order without an answer: %+v, want %v again and nothing else", again, first.Begin)
	}
}

// Guards against a new owner that evacuates machines which were already maintained.
func TestNextOwnerGoesOnWithTheRest(t *testing.T) {
	f := newFleet(3)
	tracker := NewTracker(Wave{Number: 1, Machines: f.names, TargetDuration: time.Second, MaxConcurrent: 3}, 2*time.Second, []string{"m-1", "m-2"}, start)
	if plan := tracker.Plan(start, f.listed, f.load); len(plan.Evacuate) != 1 || plan.Evacuate[0] != "w-m-0" {
		t.Errorf("plan %+v", plan)
	}
}

// Guards against runs that count as ended although their worker goes on: only a worker whose machine
// is listed in maintenance, or with another worker, has ended. It is kept empty until then.
func TestWorkersEndWhenTheirMachinesAreListedInMaintenance(t *testing.T) {
	for name, c := range map[string]struct {
		worker string
		up     bool
		want   []Termination
	}{
		"still up":          {"w-m-0", true, nil},
		"in maintenance":    {"w-m-0", false, []Termination{{"w-m-0", start.Add(time.Second)}}},
		"no worker":         {"", false, []Termination{{"w-m-0", start.Add(time.Second)}}},
		"with its next one": {"next", true, []Termination{{"w-m-0", start.Add(time.Second)}}},
	} {
		f := newFleet(1)
		tracker := f.tracker(1, 10*time.Second)
		tracker.Plan(start, f.listed, f.load)
		now := start.Add(time.Second)
		tracker.Plan(now, f.listed, f.load)
		tracker.MarkOrdered("m-0", now)
		tracker.MarkBegun("m-0", now)
		f.set("m-0", c.worker, c.up)
		now = now.Add(300 * time.Millisecond)
		plan := tracker.Plan(now, f.listed, f.load)
		if !slices.Equal(plan.Terminated, c.want) {
			t.Errorf("%s: ended %v, want %v", name, plan.Terminated, c.want)
		}
		if kept := len(plan.Evacuate) > 0; kept == (len(c.want) > 0) {
			t.Errorf("%s: evacuated %v", name, plan.Evacuate)
		}
		if again := tracker.Plan(now, f.listed, f.load).Terminated; len(again) > 0 {
			t.Errorf("%s: ended again: %v", name, again)
		}
	}
}

// Guards against a wave that never completes because one of its machines no longer exists.
func TestMachineThatIsGoneNeedsNoUpkeep(t *testing.T) {
	f := newFleet(1)
	tracker := f.tracker(1, time.Second)
	delete(f.listed, "m-0")
	if !tracker.Plan(start, f.listed, f.load).Completed {
		t.Error("the wave waits for a machine that no longer exists")
	}
}

// TestWavesKeepTheirLimit runs random waves on a fleet that loses answers and carries some
// orders out late. It checks that no more machines are down than the wave allows, that none
// begins twice, and that the wave completes with every machine maintained.
func TestWavesKeepTheirLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.IntRange(1, 12).Draw(rt, "machines"))
		atOnce := rapid.IntRange(1, 5).Draw(rt, "at once")
		tracker := f.tracker(atOnce, time.Duration(rapid.IntRange(1, 30).Draw(rt, "within"))*time.Second)
		w := &waveWorld{rt: rt, fleet: f, atOnce: atOnce, sameIDs: rapid.Bool().Draw(rt, "same ids"), upAt: map[string]time.Time{}, maintained: map[string]bool{}, late: map[string]time.Time{}}
		now := start
		for range 2000 {
			now = now.Add(300 * time.Millisecond)
			w.pass(now)
			plan := tracker.Plan(now, f.listed, f.load)
			for _, name := range plan.Begin {
				tracker.MarkOrdered(name, now)
				w.order(tracker, name, now)
			}
			if plan.Completed {
				for _, name := range f.names {
					if !w.maintained[name] {
						rt.Fatalf("completed without %s", name)
					}
				}
				return
			}
		}
		rt.Fatalf("the wave does not complete: %d of %d machines maintained", len(w.maintained), len(f.names))
	})
}

// waveWorld simulates a fleet that carries orders out at once, late, or without an answer.
type waveWorld struct {
	rt         *rapid.T
	fleet      *fleet
	atOnce     int
	upAt       map[string]time.Time
	maintained map[string]bool
	// sameIDs is set if workers restart under the same IDs.
	sameIDs bool
	// late holds the orders that are still to be carried out, with their times.
	late map[string]time.Time
}

func (w *waveWorld) begin(name string, now time.Time) {
	if w.maintained[name] {
		return
	}
	if len(w.upAt) >= w.atOnce {
		w.rt.Fatalf("%s begins while %d are down, %d may be", name, len(w.upAt), w.atOnce)
	}
	w.maintained[name] = true
	w.upAt[name] = now.Add(2 * time.Second)
	w.fleet.set(name, "", false)
}

func (w *waveWorld) pass(now time.Time) {
	for name, at := range w.upAt {
		if !now.Before(at) {
			delete(w.upAt, name)
			next := "next-" + name
			if w.sameIDs {
				next = "w-" + name
			}
			w.fleet.set(name, next, true)
		}
	}
	for name, at := range w.late {
		if !now.Before(at) {
			delete(w.late, name)
			w.begin(name, now)
		}
	}
}

func (w *waveWorld) order(tracker *Tracker, name string, now time.Time) {
	switch rapid.IntRange(0, 4).Draw(w.rt, "fate") {
	case 0: // carried out seconds later, no answer
		w.late[name] = now.Add(time.Duration(rapid.IntRange(1, 12).Draw(w.rt, "late")) * time.Second)
		tracker.MarkUnanswered(name, now)
	case 1: // lost
		tracker.MarkUnanswered(name, now)
	case 2: // carried out, no answer
		w.begin(name, now)
		tracker.MarkUnanswered(name, now)
	default:
		w.begin(name, now)
		tracker.MarkBegun(name, now)
	}
}

// Guards against a wave that never completes: a machine whose worker restarts under the same ID
// after the maintenance cannot be distinguished by ID from one that is still down.
func TestUpkeepIsOverWhenTheWorkerIsBackUnderItsID(t *testing.T) {
	f := newFleet(2)
	tracker := f.tracker(1, 10*time.Second)
	now := start
	for range 40 {
		now = now.Add(300 * time.Millisecond)
		plan := tracker.Plan(now, f.listed, f.load)
		if plan.Completed {
			return
		}
		for _, name := range plan.Begin {
			tracker.MarkOrdered(name, now)
			f.set(name, "w-"+name, false)
			tracker.MarkBegun(name, now)
			tracker.Plan(now.Add(time.Millisecond), f.listed, f.load)
			f.set(name, "w-"+name, true)
		}
	}
	t.Error("the wave is not completed")
}

// Guards against a worker that ends with its maintenance and is not known to have ended: the listing right
// after the order is still the old one, the wave counts as completed, and its tracker is dropped.
func TestWaveIsNotCompletedBeforeItsLastWorkerIsKnownToHaveEnded(t *testing.T) {
	f := newFleet(1)
	tracker := f.tracker(1, 10*time.Second)
	tracker.Plan(start, f.listed, f.load)
	ordered := start.Add(time.Second)
	tracker.Plan(ordered, f.listed, f.load)
	tracker.MarkOrdered("m-0", ordered)
	tracker.MarkBegun("m-0", ordered)
	if plan := tracker.Plan(ordered.Add(300*time.Millisecond), f.listed, f.load); plan.Completed {
		t.Errorf("completed before the listing shows the maintenance: %+v", plan)
	}
	f.set("m-0", "", false)
	if plan := tracker.Plan(ordered.Add(600*time.Millisecond), f.listed, f.load); !plan.Completed {
		t.Errorf("not completed although the listing shows the maintenance: %+v", plan)
	}
}
