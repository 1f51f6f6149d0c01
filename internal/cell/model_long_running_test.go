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
	// faultFreePeriod is how long the model runs without faults at the end; faultFreeTick is the
	// time between two rounds of it.
	faultFreePeriod = 12 * time.Second
	faultFreeTick   = 40 * time.Millisecond
	// enoughFreeCores is the number of free cores with which a task of one core fits for certain,
	// even if it must not share a worker with its sibling.
	enoughFreeCores = 7
)

// longRunningModel is a model in which all tasks are long-running.
type longRunningModel struct {
	*model
	// downSince is the time since when a task has been down although workers have enough free
	// capacity.
	downSince map[string]time.Time
	// limit is how long a task may be down after the last fault.
	limit time.Duration
}

// Guards against a long-running task that stays down after faults of any kind, including permanent
// crashes of workers, although workers have enough free capacity.
func TestModelLongRunningTasksRestart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &longRunningModel{model: newModel(rt), downSince: map[string]time.Time{}, limit: maxDowntime}
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
	if m.adviser != nil {
		r.Advice = &modelAdvice
	}
	m.records = append(m.records, r)
	m.current().cell.Add(r, true)
}

func (m *longRunningModel) step() {
	if rapid.IntRange(0, 3).Draw(m.rt, "a run ends") == 0 {
		m.failSomeRun()
		return
	}
	if rapid.IntRange(0, 11).Draw(m.rt, "rare fault") == 0 {
		m.rareFault()
		return
	}
	o := m.anyOwner()
	switch rapid.IntRange(0, 6).Draw(m.rt, "action") {
	case 0:
		m.now = m.now.Add(time.Duration(rapid.IntRange(5, 900).Draw(m.rt, "advance")) * time.Millisecond)
		for _, w := range m.workers {
			w.expireLease()
		}
	case 1, 2, 3:
		m.poll(o, m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.rt, "worker")], rapid.IntRange(0, 5).Draw(m.rt, "lost poll") == 0)
	case 4, 5:
		m.plan(o, true)
	case 6:
		m.commit(o, rapid.Bool().Draw(m.rt, "store answers"))
		m.deliverLateOrders()
	}
}

// failSomeRun ends a run as failed, or as stopped if it has a stop order.
func (m *longRunningModel) failSomeRun() {
	for _, w := range m.workers {
		if len(w.runs) == 0 {
			continue
		}
		task := slices.Min(slices.Collect(maps.Keys(w.runs)))
		kind := runner.Failed
		if w.runs[task].stop {
			kind = runner.Stopped
		}
		w.end(task, w.runs[task].run, kind)
		return
	}
}

// deliverLateOrders delivers the delayed orders.
func (m *longRunningModel) deliverLateOrders() {
	for _, act := range m.lateOrders {
		act()
	}
	m.lateOrders = nil
}

// endFaults ends all faults. Some of the unreachable workers turn out to have crashed permanently.
func (m *longRunningModel) endFaults() {
	m.deliverLateOrders()
	m.faultsEnded = true
	for _, w := range m.workers {
		if w.repliesLost && rapid.Bool().Draw(m.rt, "crashed") {
			m.crash(w)
		}
		w.repliesLost, w.ordersLost = false, false
		if w.alive {
			m.current().cell.register(w.roster, m.now)
		}
	}
	for _, o := range m.owners[:len(m.owners)-1] {
		o.stopped = true
	}
}

// roundWithoutFaults advances the time by a tick in which all calls are answered. Crashed workers
// stay unresponsive.
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

// checkDowntime fails the test if a task was down for too long although workers had enough free
// capacity.
func (m *longRunningModel) checkDowntime() {
	free := m.freeCores()
	for _, r := range m.records {
		if state, _ := m.current().cell.State(r.ID); state == job.Failed && m.crashedUnder(r) {
			continue
		}
		wanted := 2
		if r.Steps[0].MaxPerWorker > 0 {
			wanted = enoughFreeCores
		}
		for i := range r.Steps[0].Count {
			m.checkTask(fmt.Sprintf("%s.0.0.%d", r.ID, i), free >= wanted)
		}
	}
}

func (m *longRunningModel) checkTask(task string, enoughFree bool) {
	if _, runs := m.running[task]; runs || !enoughFree {
		delete(m.downSince, task)
		return
	}
	if m.downSince[task].IsZero() {
		m.downSince[task] = m.now
	}
	if down := m.now.Sub(m.downSince[task]); down > m.limit {
		list, _ := m.current().cell.DownTasks(len(m.records), m.now)
		m.rt.Fatalf("%s was down for %v: %+v", task, down, list)
	}
}

// freeCores returns how many more tasks of one core fit on the workers.
func (m *longRunningModel) freeCores() int {
	free := 0
	for _, w := range m.workers {
		if w.ordersLost && len(w.runs) > 0 {
			// A stop that it does not answer has no bound beside other runs.
			return 0
		}
		if w.alive && !w.ordersLost {
			free += int(w.roster.Capacity.MilliCPU/1000) - len(w.runs)
		}
	}
	return free
}
