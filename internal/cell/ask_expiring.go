package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// expiring counts, for each stage that needs tickets, the runs that are lost within the time
// of a question to the adviser, as the lease of their silent worker ends. Members of gangs
// are not placed one by one.
func (c *Cell) expiring(now time.Time) map[*stage]int {
	counts := map[*stage]int{}
	for _, w := range c.workers {
		if len(w.attempts) == 0 || !w.clockAt.IsZero() && !w.silent(now) {
			continue
		}
		over := c.leaseOver(w)
		for a := range w.attempts {
			s := a.task.stage
			cost := s.job.record.Advice
			if cost == nil || s.step.Gang || a.task.done || s.job.final != "" || a.task.crashes.pauses(over) {
				continue
			}
			if !now.Add(cost.Duration(advisedWorkers)).Before(over) {
				counts[s]++
			}
		}
	}
	return counts
}

// askExpiring asks about stages before their runs are lost, so that they can start again at
// once. They come after the stages that have something to start.
func (c *Cell) askExpiring(counts map[*stage]int, room *room, now time.Time) {
	stages := slices.SortedFunc(maps.Keys(counts), func(a, b *stage) int {
		return cmp.Or(cmp.Compare(a.job.record.Priority, b.job.record.Priority), cmp.Compare(a.id.String(), b.id.String()))
	})
	for _, s := range stages {
		s.expiring = counts[s]
		c.askAdvice(s, room, now)
		s.expiring = 0
	}
}
