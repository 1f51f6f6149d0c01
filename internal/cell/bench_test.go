package cell

import (
	"fmt"
	"testing"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/job"
	"gentianstand/internal/resource"
)

// BenchmarkPlan measures one planning pass over full workers: a burst has left
// many stages waiting, each with tickets for a third of the workers.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{48, 60}, {350, 300}, {3000, 300}} {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", size.workers, size.waiting), func(b *testing.B) {
			c := fullCell(size.workers, size.waiting)
			now := siteStart.Add(time.Second)
			b.ResetTimer()
			for range b.N {
				c.Plan(now, AdviceSlots{})
			}
		})
	}
}

// fullCell returns a cell whose workers have one core left and whose waiting
// tasks need four.
func fullCell(workers, waiting int) *Cell {
	c := New(Settings{Term: 1, Lease: time.Second, StopGrace: time.Second}, siteStart, quietLog())
	for n := range workers {
		w := newWorker(usualWorker(fmt.Sprint(n)), siteStart)
		w.saved, w.reported, w.lastReport = true, true, siteStart.Add(time.Second)
		w.used = resource.Amount{MilliCPU: 15000}
		c.workers[w.ID] = w
	}
	for n := range waiting {
		s := job.Step{Count: 10, Need: resource.Amount{MilliCPU: 4000, MemoryMiB: 100}, Estimate: time.Second}
		r := &job.Record{ID: fmt.Sprintf("%016x", n), Queue: "q", Service: "desk", Priority: 2, MaxAttempts: 3, Stretch: 2,
			AcceptedAt: siteStart, Steps: []job.Step{s}, Advice: &job.AdviceCost{PerCall: time.Second, Valid: time.Minute}}
		c.Add(r, true)
		var tickets []advice.Ticket
		for k := range workers / 3 {
			tickets = append(tickets, advice.Ticket{Worker: fmt.Sprint(3 * k), Text: "t"})
		}
		c.Advised(job.StageID{Job: r.ID}, nil, tickets, nil, siteStart)
	}
	return c
}
