package cell

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

func (m *model) endSomeRun() {
	for _, w := range m.workers {
		if len(w.runs) == 0 {
			continue
		}
		task := slices.Min(slices.Collect(maps.Keys(w.runs)))
		r := w.runs[task]
		kind := runner.Done
		switch {
		case r.stop:
			kind = runner.Stopped
		case rapid.IntRange(0, 4).Draw(m.rt, "fails") == 0:
			kind = runner.Failed
		}
		w.end(task, r.run, kind)
		return
	}
}

// finishAll ends all faults and waits until all jobs are shown as completed.
func (m *model) finishAll() {
	m.takeOver(true)
	m.faultsEnded = true
	o := m.current()
	for _, w := range m.workers {
		w.repliesLost = false
		if w.alive {
			o.cell.register(w.roster, m.now)
		}
	}
	for range 400 {
		m.now = m.now.Add(50 * time.Millisecond)
		for _, w := range m.workers {
			w.expireLease()
			m.poll(o, w, false)
			for task, r := range w.runs {
				kind := runner.Done
				if r.stop {
					kind = runner.Stopped
				}
				w.end(task, r.run, kind)
			}
		}
		m.plan(o, false)
		m.commit(o, true)
		if m.allComplete(o) {
			return
		}
	}
	m.rt.Fatalf("not all jobs completed after the faults ended")
}

// allComplete reports whether all jobs are completed. A job may have failed instead if two workers
// crashed under one of its tasks.
func (m *model) allComplete(o *modelOwner) bool {
	for _, r := range m.records {
		switch state, _ := o.cell.State(r.ID); state {
		case job.Completed:
		case job.Failed:
			if !m.crashedUnder(r) {
				m.rt.Fatalf("job %s failed although no two workers crashed under one of its tasks", r.ID)
			}
		default:
			return false
		}
	}
	return true
}

// crashedUnder reports whether two workers crashed under one task of a job.
func (m *model) crashedUnder(r *job.Record) bool {
	for task, crashes := range m.crashes {
		if strings.HasPrefix(task, r.ID) && crashes >= maxCrashesSoleSuspect {
			return true
		}
	}
	return false
}
