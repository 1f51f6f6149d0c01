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
	// count as full. Part of the remainder is reserved for urgent work, and part is too
	// fragmented to use.
	fullShare = 0.85
	// minOverCapacity is the least share of the capacity that work beyond shares is assumed to
	// get. The rate of arrivals is an estimate, and a smaller share would be mostly its error.
	minOverCapacity = 0.5
)

// pool sums up the capacity and the load of the workers of one service.
type pool struct {
	// total is the capacity of all workers. capacity is that of as many typical workers as do
	// the same work, without the part that long-running tasks occupy. used is what all runs
	// occupy.
	capacity, total, used resource.Amount
	// largest is the largest capacity of any worker, per resource.
	largest resource.Amount
	// ready is what all tasks need that run or could start now.
	ready resource.Amount
	// work is the remaining work by priority.
	work map[int]remainingWork
}

// full reports whether the workers have too little free capacity to start new work at once.
func (p *pool) full() bool { return p.usedShare() >= fullShare }

// pools returns the pools by service, without workers that are draining, evacuating or
// unregistered.
func (c *Cell) pools() map[string]*pool {
	pools := map[string]*pool{}
	for _, w := range c.workers {
		if w.Draining || w.evacuating || !w.unlistedAt.IsZero() {
			continue
		}
		p := pools[w.Service]
		if p == nil {
			p = &pool{work: map[int]remainingWork{}}
			pools[w.Service] = p
		}
		p.total = p.total.Add(w.Capacity)
		p.used = p.used.Add(w.used)
		factor := c.speedFactor(w)
		p.capacity = p.capacity.Add(typicalCapacity(w.Capacity, factor))
		p.largest = p.largest.Max(w.Capacity)
		for a := range w.attempts {
			if a.task.stage.step.LongRunning {
				p.capacity = p.capacity.Sub(typicalCapacity(a.task.stage.step.Occupied(), factor))
			}
		}
	}
	return pools
}

// typicalCapacity returns the capacity of a typical worker that does as much work as the given
// capacity of a worker with a run-time factor.
func typicalCapacity(a resource.Amount, factor float64) resource.Amount {
	if factor == 1 {
		return a
	}
	scale := func(n int64) int64 { return int64(float64(n) / factor) }
	return resource.Amount{MilliCPU: scale(a.MilliCPU), MemoryMiB: scale(a.MemoryMiB), Accelerators: scale(a.Accelerators)}
}

// addWork adds the remaining work of a job. Stages that are long-running, not due, or too
// large for every worker delay no one and are skipped.
func (c *Cell) addWork(p *pool, j *jobState, now time.Time) {
	sum := p.work[j.record.Priority]
	for _, s := range j.stages {
		need := s.step.Occupied()
		if s.step.LongRunning || s.isDone() || !need.Fits(p.largest) || !s.due(now, c.settings.EarlyStart) {
			continue
		}
		waiting, running := c.unfinished(s)
		// Running tasks are half done on average.
		sum.add(j.overShare, need, time.Duration(waiting)*s.step.Estimate, time.Duration(running)*s.step.Estimate/2)
		if s.predecessorsDone() {
			p.ready = p.ready.Add(need.Times(int64(waiting + running)))
		}
	}
	p.work[j.record.Priority] = sum
}

// unfinished returns how many tasks of a stage wait and how many run. Tasks that wait for a quota
// use no capacity. Until all workers have reported, tasks that a previous owner can have started
// count as running.
func (c *Cell) unfinished(s *stage) (waiting, running int) {
	running = len(s.tasks) - s.done - len(s.idle)
	waiting = c.startable(s)
	if c.heldBack(s) && s.predecessorsDone() {
		return 0, max(0, running+waiting)
	}
	return waiting, max(0, running)
}

// backlogs returns, for each priority, the time that its work and all more urgent work takes.
func (p *pool) backlogs(service string, arriving *shareMeter) []admission.Backlog {
	priorities := make([]int, 0, len(p.work))
	for priority := range p.work {
		priorities = append(priorities, priority)
	}
	slices.SortFunc(priorities, cmp.Compare[int])
	var list []admission.Backlog
	var sum remainingWork
	for _, priority := range priorities {
		sum = sum.plus(p.work[priority])
		all := sum.within.Plus(sum.over).On(p.capacity)
		left := max(minOverCapacity, 1-arriving.rate(service, priority))
		list = append(list, admission.Backlog{Service: service, Priority: priority, Wait: all, ShareWait: sum.within.On(p.capacity),
			OverWait: max(all, time.Duration(float64(sum.queued.On(p.capacity))/left))})
	}
	return list
}
