package cell

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

const (
	// faultFreePeriod is how long the model stays calm at the end, and lastingTick the time
	// between two rounds of it.
	faultFreePeriod = 12 * time.Second
	faultFreeTick   = 40 * time.Millisecond
	// enoughFreeCores is for how many tasks of one core the workers have room when one that
	// may not share its worker with its sibling surely fits, too.
	enoughFreeCores = 7
)

// longRunningModel is a model in which all tasks last.
type longRunningModel struct {
	*model
	// downSince is from when on a task has been away beside room for two.
	downSince map[string]time.Time
}

// Failure: after faults of any kind, with workers that never come back, a lasting task stays
// away beside room for two.
func TestModelLongRunningTasksRestart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &longRunningModel{model: newModel(rt), downSince: map[string]time.Time{}}
		m.submit()
		m.submit()
		steps := rapid.IntRange(20, 150).Draw(rt, "steps")
		for range steps {
			m.step()
		}
		m.endFaults()
		for end := m.now.Add(faultFreePeriod); m.now.Before(end); {
			m.roundWithoutFaults()
			m.checkDowntime()
		}
	})
}

func (m *longRunningModel) submit() {
	watch := step(rapid.IntRange(1, 2).Draw(m.rt, "tasks"))
	watch.LongRunning = true
	if rapid.Bool().Draw(m.rt, "spread") {
		watch.MaxPerWorker = 1
	}
	r := &job.Record{ID: fmt.Sprintf("%016x", len(m.records)+1), Queue: "q", Service: "desk", MaxAttempts: 3, Stretch: 2, Priority: 1,
		AcceptedAt: m.now, CatalogVersion: uint64(len(m.quotas.caps)), Steps: []job.Step{watch}}
	m.records = append(m.records, r)
	m.current().cell.Add(r, true)
}

func (m *longRunningModel) step() {
	if rapid.IntRange(0, 3).Draw(m.rt, "a run ends") == 0 {
		m.failSomeRun()
		return
	}
	if rapid.IntRange(0, 11).Draw(m.rt, "rare") == 0 {
		m.rareFault()
		return
	}
	o := m.anyOwner()
	switch rapid.IntRange(0, 6).Draw(m.rt, "action") {
	case 0:
		m.now = m.now.Add(time.Duration(rapid.IntRange(5, 900).Draw(m.rt, "pass")) * time.Millisecond)
		for _, w := range m.workers {
			w.expireLease()
		}
	case 1, 2, 3:
		m.poll(o, m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.rt, "worker")], rapid.IntRange(0, 5).Draw(m.rt, "lost look") == 0)
	case 4, 5:
		m.plan(o, true)
	case 6:
		m.commit(o, rapid.Bool().Draw(m.rt, "store answers"))
		m.deliverLateOrders()
	}
}

// failSomeRun ends a run by its own fault, or by its stop.
func (m *longRunningModel) failSomeRun() {
	for _, w := range m.workers {
		if len(w.runs) == 0 {
			continue
		}
		task := slices.Min(slices.Collect(maps.Keys(w.runs)))
		how := runner.Failed
		if w.runs[task].stop {
			how = runner.Stopped
		}
		w.end(task, w.runs[task].run, how)
		return
	}
}

// deliverLateOrders carries out the orders that are on their way.
func (m *longRunningModel) deliverLateOrders() {
	for _, act := range m.lateOrders {
		act()
	}
	m.lateOrders = nil
}

// endFaults ends all faults. Some of the workers that are cut off have crashed for good.
func (m *longRunningModel) endFaults() {
	m.deliverLateOrders()
	m.faultsEnded = true
	for _, w := range m.workers {
		if w.repliesLost && rapid.Bool().Draw(m.rt, "gone for good") {
			m.crash(w)
		}
		w.repliesLost = false
		if w.alive {
			m.current().cell.register(w.roster, m.now)
		}
	}
	for _, o := range m.owners[:len(m.owners)-1] {
		o.stopped = true
	}
}

// roundWithoutFaults lets some time pass in which everything is answered. Crashed workers are silent.
func (m *longRunningModel) roundWithoutFaults() {
	o := m.current()
	m.now = m.now.Add(faultFreeTick)
	for _, w := range m.workers {
		if !w.alive {
			o.cell.PollFailed(w.roster.ID, runner.ErrNoAnswer, m.now)
			continue
		}
		w.expireLease()
		m.poll(o, w, false)
		for task, r := range w.runs {
			if r.stop {
				w.end(task, r.run, runner.Stopped)
			}
		}
	}
	m.plan(o, false)
	m.commit(o, true)
}

// checkDowntime fails if a task has been away for long beside room for two.
func (m *longRunningModel) checkDowntime() {
	room := m.freeCores()
	for _, r := range m.records {
		if state, _ := m.current().cell.State(r.ID); state == job.Failed && m.crashedUnder(r) {
			continue
		}
		wanted := 2
		if r.Steps[0].MaxPerWorker > 0 {
			wanted = enoughFreeCores
		}
		for i := range r.Steps[0].Count {
			m.checkTask(fmt.Sprintf("%s.0.0.%d", r.ID, i), room >= wanted)
		}
	}
}

func (m *longRunningModel) checkTask(task string, roomy bool) {
	if _, runs := m.running[task]; runs || !roomy {
		delete(m.downSince, task)
		return
	}
	if m.downSince[task].IsZero() {
		m.downSince[task] = m.now
	}
	if away := m.now.Sub(m.downSince[task]); away > maxDowntime {
		list, _ := m.current().cell.DownTasks(len(m.records), m.now)
		m.rt.Fatalf("%s was away for %v: %+v", task, away, list)
	}
}

// freeCores returns how many more tasks of one core the workers hold.
func (m *longRunningModel) freeCores() int {
	room := 0
	for _, w := range m.workers {
		if w.alive {
			room += int(w.roster.Capacity.MilliCPU/1000) - len(w.runs)
		}
	}
	return room
}
