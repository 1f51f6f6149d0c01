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
	// lastingWatched is how long the model stays calm at the end, and lastingTick the time
	// between two rounds of it.
	lastingWatched = 12 * time.Second
	lastingTick    = 40 * time.Millisecond
	// roomyEnough is for how many tasks of one core the workers have room when one that
	// may not share its worker with its sibling surely fits, too.
	roomyEnough = 7
)

// lastingModel is a model in which all tasks last.
type lastingModel struct {
	*model
	// awaySince is from when on a task has been away beside room for two.
	awaySince map[string]time.Time
}

// Failure: after faults of any kind, with workers that never come back, a lasting task stays
// away beside room for two.
func TestModelLastingTasksComeBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &lastingModel{model: newModel(rt), awaySince: map[string]time.Time{}}
		m.submit()
		m.submit()
		steps := rapid.IntRange(20, 150).Draw(rt, "steps")
		for range steps {
			m.step()
		}
		m.heal()
		for end := m.now.Add(lastingWatched); m.now.Before(end); {
			m.calmRound()
			m.checkAway()
		}
	})
}

func (m *lastingModel) submit() {
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

func (m *lastingModel) step() {
	if rapid.IntRange(0, 3).Draw(m.rt, "a run ends") == 0 {
		m.failSomeRun()
		return
	}
	if rapid.IntRange(0, 11).Draw(m.rt, "rare") == 0 {
		m.rare()
		return
	}
	o := m.anyOwner()
	switch rapid.IntRange(0, 6).Draw(m.rt, "action") {
	case 0:
		m.now = m.now.Add(time.Duration(rapid.IntRange(5, 900).Draw(m.rt, "pass")) * time.Millisecond)
		for _, w := range m.workers {
			w.lapse()
		}
	case 1, 2, 3:
		m.look(o, m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.rt, "worker")], rapid.IntRange(0, 5).Draw(m.rt, "lost look") == 0)
	case 4, 5:
		m.plan(o, true)
	case 6:
		m.commit(o, rapid.Bool().Draw(m.rt, "store answers"))
		m.carryOutLate()
	}
}

// failSomeRun ends a run by its own fault, or by its stop.
func (m *lastingModel) failSomeRun() {
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

// carryOutLate carries out the orders that are on their way.
func (m *lastingModel) carryOutLate() {
	for _, act := range m.late {
		act()
	}
	m.late = nil
}

// heal ends all faults. Some of the workers that are cut off have crashed for good.
func (m *lastingModel) heal() {
	m.carryOutLate()
	m.healed = true
	for _, w := range m.workers {
		if w.cut && rapid.Bool().Draw(m.rt, "gone for good") {
			m.crash(w)
		}
		w.cut = false
		if w.alive {
			m.current().cell.register(w.roster, m.now)
		}
	}
	for _, o := range m.owners[:len(m.owners)-1] {
		o.lost = true
	}
}

// calmRound lets some time pass in which everything is answered. Crashed workers are silent.
func (m *lastingModel) calmRound() {
	o := m.current()
	m.now = m.now.Add(lastingTick)
	for _, w := range m.workers {
		if !w.alive {
			o.cell.LookFailed(w.roster.ID, runner.ErrNoAnswer, m.now)
			continue
		}
		w.lapse()
		m.look(o, w, false)
		for task, r := range w.runs {
			if r.stop {
				w.end(task, r.run, runner.Stopped)
			}
		}
	}
	m.plan(o, false)
	m.commit(o, true)
}

// checkAway fails if a task has been away for long beside room for two.
func (m *lastingModel) checkAway() {
	room := m.room()
	for _, r := range m.records {
		if state, _ := m.current().cell.State(r.ID); state == job.Failed && m.crashedUnder(r) {
			continue
		}
		wanted := 2
		if r.Steps[0].MaxPerWorker > 0 {
			wanted = roomyEnough
		}
		for i := range r.Steps[0].Count {
			m.checkTask(fmt.Sprintf("%s.0.0.%d", r.ID, i), room >= wanted)
		}
	}
}

func (m *lastingModel) checkTask(task string, roomy bool) {
	if _, runs := m.open[task]; runs || !roomy {
		delete(m.awaySince, task)
		return
	}
	if m.awaySince[task].IsZero() {
		m.awaySince[task] = m.now
	}
	if away := m.now.Sub(m.awaySince[task]); away > longestAway {
		list, _ := m.current().cell.Aways(len(m.records), m.now)
		m.rt.Fatalf("%s was away for %v: %+v", task, away, list)
	}
}

// room returns how many more tasks of one core the workers hold.
func (m *lastingModel) room() int {
	room := 0
	for _, w := range m.workers {
		if w.alive {
			room += int(w.roster.Capacity.MilliCPU/1000) - len(w.runs)
		}
	}
	return room
}
