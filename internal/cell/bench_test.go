package cell

import (
	"fmt"
	"testing"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/catalog"
	"gentianstand/internal/job"
	"gentianstand/internal/resource"
)

// BenchmarkPlan measures one planning pass over full workers. A burst has left many stages waiting,
// each with tickets for a third of the workers.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ workers, waiting, workspaces int }{{48, 60, 0}, {350, 300, 0}, {350, 300, 82}, {3000, 300, 0}, {3000, 300, 82}} {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d/workspaces=%d", size.workers, size.waiting, size.workspaces), func(b *testing.B) {
			c := fullCell(size.workers, size.waiting, size.workspaces)
			now := siteStart.Add(time.Second)
			b.ResetTimer()
			for range b.N {
				c.Plan(now, AdviceSlots{})
			}
		})
	}
}

// fullCell returns a cell whose workers have one core left and whose waiting tasks need four. Its
// jobs are spread over the given number of workspaces with quotas, or belong to none.
func fullCell(workers, waiting, workspaces int) *Cell {
	c := New(Settings{Term: 1, Lease: time.Second, StopGrace: time.Second}, siteStart, quietLog())
	for n := range workers {
		w := newWorker(usualWorker(fmt.Sprint(n)), siteStart)
		w.stored, w.reported, w.lastReport = true, true, siteStart.Add(time.Second)
		w.used = resource.Amount{MilliCPU: 15000}
		c.workers[w.ID] = w
	}
	var list []catalog.Workspace
	for n := range workspaces {
		list = append(list, catalog.Workspace{Name: fmt.Sprint(n), Weight: 2, Cap: resource.Amount{MilliCPU: 1 << 30}})
	}
	c.Configure(catalog.New(catalog.Content{Version: 1, Workspaces: list}))
	for n := range waiting {
		s := job.Step{Count: 10, Need: resource.Amount{MilliCPU: 4000, MemoryMiB: 100}, Estimate: time.Second}
		r := &job.Record{ID: fmt.Sprintf("%016x", n), Queue: "q", Service: "desk", Priority: 2, MaxAttempts: 3, Stretch: 2,
			AcceptedAt: siteStart, Steps: []job.Step{s}, Advice: &job.AdviceCost{PerCall: time.Second, TicketTTL: time.Minute}}
		if workspaces > 0 {
			r.Workspace = fmt.Sprint(n % workspaces)
		}
		c.Add(r, true)
		var tickets []advice.Ticket
		for k := range workers / 3 {
			tickets = append(tickets, advice.Ticket{Worker: fmt.Sprint(3 * k), Text: "t"})
		}
		c.AdviceAnswered(job.StageID{Job: r.ID}, nil, tickets, nil, siteStart)
	}
	return c
}
