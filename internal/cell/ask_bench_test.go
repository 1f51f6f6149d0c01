package cell

import (
	"fmt"
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/resource"
)

// BenchmarkWorkersToAsk measures the selection of workers to request advice for, on sites of up
// to 3000 workers and for a stage without any verdicts.
func BenchmarkWorkersToAsk(b *testing.B) {
	for _, workers := range []int{48, 540, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := fullCell(workers, 0, 0)
			for _, w := range c.workers {
				w.used = resource.Amount{MilliCPU: int64(len(w.ID)) * 1500}
			}
			s := job.Step{Count: 10, Need: resource.Amount{MilliCPU: 4000, MemoryMiB: 100}, Estimate: time.Second}
			r := &job.Record{ID: fmt.Sprintf("%016x", 1), Queue: "q", Service: "desk", MaxAttempts: 3, Stretch: 2,
				AcceptedAt: siteStart, Steps: []job.Step{s}, Advice: &job.AdviceCost{PerCall: time.Second, TicketTTL: time.Minute}}
			c.Add(r, true)
			now := siteStart.Add(time.Second)
			view := c.newPlanView(now)
			stage := c.jobs[r.ID].stages[0]
			b.ResetTimer()
			for range b.N {
				c.workersToAsk(stage, view, now)
			}
		})
	}
}
