package cell

import (
	"slices"
	"time"

	"gentianstand/internal/job"
)

// waits returns how long the jobs of a list waited for their first start, sorted.
func (l *load) waits(ids []string) []time.Duration {
	var waits []time.Duration
	for _, id := range ids {
		began, ok := l.firstStart[id]
		if !ok {
			began = l.now
		}
		waits = append(waits, began.Sub(l.submitted[id]))
	}
	slices.Sort(waits)
	return waits
}

func percentile(list []time.Duration, p float64) time.Duration {
	return list[min(len(list)-1, int(p*float64(len(list))))]
}

// letters returns a long step that supports checkpoints, lookup a short one.
func letters(count int) job.Step {
	s := step(count)
	s.Need.MilliCPU, s.Estimate, s.Checkpoint = 4000, 6*time.Second, true
	return s
}

func lookup(count int) job.Step {
	s := step(count)
	s.Need.MilliCPU, s.Estimate = 2000, 500*time.Millisecond
	return s
}
