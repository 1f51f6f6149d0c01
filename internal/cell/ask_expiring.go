package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// expiringRuns counts, for each stage, the runs that are about to be lost.
type expiringRuns struct{ longRunning, finite map[*stage]int }

func (e *expiringRuns) add(s *stage) {
	if s.step.LongRunning {
		e.longRunning[s]++
		return
	}
	e.finite[s]++
}

func (e *expiringRuns) any() bool { return len(e.longRunning)+len(e.finite) > 0 }

// expiring counts, for each stage that needs tickets, the runs that will be lost within the
// duration of an adviser call because the lease of their unresponsive worker expires. Gangs
// are excluded, as their members are not placed one by one.
func (c *Cell) expiring(now time.Time) expiringRuns {
	runs := expiringRuns{longRunning: map[*stage]int{}, finite: map[*stage]int{}}
	for _, w := range c.workers {
		if len(w.attempts) == 0 || !w.clockAt.IsZero() && !w.unresponsive(now) {
			continue
		}
		over := c.runsOverBy(w)
		for a := range w.attempts {
			s := a.task.stage
			cost := s.job.record.Advice
			if cost == nil || s.step.Gang || a.task.done || s.job.final != "" || a.task.backsOff(over) {
				continue
			}
			if !now.Add(cost.Duration(typicalCallSize)).Before(over) {
				runs.add(s)
			}
		}
	}
	return runs
}

// askExpiring requests tickets for stages before their runs are lost, so that the tasks can
// restart immediately.
func (c *Cell) askExpiring(counts map[*stage]int, view *planView, now time.Time) {
	stages := slices.SortedFunc(maps.Keys(counts), func(a, b *stage) int {
		return cmp.Or(cmp.Compare(a.job.record.Priority, b.job.record.Priority), cmp.Compare(a.id.String(), b.id.String()))
	})
	for _, s := range stages {
		s.expiring = counts[s]
		c.askAdvice(s, view, now)
		s.expiring = 0
	}
}
