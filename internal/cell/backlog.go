package cell

import (
	"cmp"
	"slices"
	"time"

	"gentianstand/internal/admission"
	"gentianstand/internal/resource"
)

const (
	// fullShare is the used share of a service's scarcest resource from which its workers
	// are full: a part of the rest is kept for urgent work, and a part is in pieces that
	// are too small.
	fullShare = 0.85
	// backlogPeriod is how often the backlogs are worked out anew. It takes a look at
	// each task that is not done.
	backlogPeriod = 250 * time.Millisecond
)

// pool is what the workers of one service have, and what is asked of them.
type pool struct {
	// capacity is that of total workers, without what lasting tasks use there; used is what
	// total runs use.
	capacity, total, used resource.Amount
	// largest is the largest worker's capacity of each kind.
	largest resource.Amount
	// work is what is left to do, by priority.
	work map[int]work
}

// work is an amount of each resource times the seconds for which it is needed.
type work struct{ cpu, memory, accelerators float64 }

func (w work) add(need resource.Amount, d time.Duration) work {
	s := d.Seconds()
	return work{w.cpu + float64(need.MilliCPU)*s, w.memory + float64(need.MemoryMiB)*s, w.accelerators + float64(need.Accelerators)*s}
}

// durationOn returns how long the work takes durationOn a capacity, by its scarcest resource.
func (w work) durationOn(capacity resource.Amount) time.Duration {
	seconds := max(w.cpu/float64(max(1, capacity.MilliCPU)), w.memory/float64(max(1, capacity.MemoryMiB)))
	if capacity.Accelerators > 0 {
		seconds = max(seconds, w.accelerators/float64(capacity.Accelerators))
	}
	return time.Duration(seconds * float64(time.Second))
}

// full reports whether the workers have too little room to take work in at once.
func (p *pool) full() bool {
	share := func(used, all int64) float64 { return float64(used) / float64(max(1, all)) }
	return max(share(p.used.MilliCPU, p.total.MilliCPU), share(p.used.MemoryMiB, p.total.MemoryMiB),
		share(p.used.Accelerators, p.total.Accelerators)) >= fullShare
}

// Backlogs returns the backlogs of services whose workers are full, as of some tenths of a
// second ago. There is none until all workers are accounted for, and workers that are
// silent or parked count: an owner that takes the few it has heard for all would have
// everybody refused.
func (c *Cell) Backlogs(now time.Time) []admission.Backlog {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recovering {
		return nil
	}
	if now.Sub(c.backlogsAt) < backlogPeriod {
		return c.backlogs
	}
	c.backlogsAt = now
	pools := c.pools()
	for _, j := range c.active {
		if p := pools[j.record.Service]; p != nil && p.full() {
			c.addWork(p, j, now)
		}
	}
	c.backlogs = nil
	for service, p := range pools {
		c.backlogs = append(c.backlogs, p.backlogs(service)...)
	}
	return c.backlogs
}

// pools returns the pools of workers that stay, by service.
func (c *Cell) pools() map[string]*pool {
	pools := map[string]*pool{}
	for _, w := range c.workers {
		if w.Draining || w.evacuating || !w.unlistedAt.IsZero() {
			continue
		}
		p := pools[w.Service]
		if p == nil {
			p = &pool{work: map[int]work{}}
			pools[w.Service] = p
		}
		p.total = p.total.Add(w.Capacity)
		p.used = p.used.Add(w.used)
		p.capacity = p.capacity.Add(w.Capacity)
		p.largest = p.largest.Max(w.Capacity)
		for a := range w.attempts {
			if a.task.stage.step.LongRunning {
				p.capacity = p.capacity.Sub(a.task.stage.step.Occupied())
			}
		}
	}
	return pools
}

// addWork adds what is left of a job. What lasts, is not due, or fits on no worker keeps
// nobody waiting.
func (c *Cell) addWork(p *pool, j *jobState, now time.Time) {
	sum := p.work[j.record.Priority]
	for _, s := range j.stages {
		need := s.step.Occupied()
		if s.step.LongRunning || s.isDone() || !need.Fits(p.largest) || !s.due(now, c.settings.EarlyStart) {
			continue
		}
		running := len(s.tasks) - s.done - len(s.idle)
		// What waits for its quota takes no room from others.
		waiting := c.startable(s)
		// Those that run are half done on average.
		sum = sum.add(need, time.Duration(waiting)*s.step.Estimate+time.Duration(max(0, running))*s.step.Estimate/2)
	}
	p.work[j.record.Priority] = sum
}

// backlogs returns how long the work of each priority and of those before it takes.
func (p *pool) backlogs(service string) []admission.Backlog {
	priorities := make([]int, 0, len(p.work))
	for priority := range p.work {
		priorities = append(priorities, priority)
	}
	slices.SortFunc(priorities, cmp.Compare[int])
	var list []admission.Backlog
	var sum work
	for _, priority := range priorities {
		w := p.work[priority]
		sum = work{sum.cpu + w.cpu, sum.memory + w.memory, sum.accelerators + w.accelerators}
		list = append(list, admission.Backlog{Service: service, Priority: priority, Wait: sum.durationOn(p.capacity)})
	}
	return list
}
