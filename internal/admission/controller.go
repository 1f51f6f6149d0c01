package admission

import (
	"sync"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/jobmemory"
)

// backlogTTL is how long a received backlog is used without workspaces. An instance without a
// recent backlog accepts the job and receives the current backlog in the owner's response.
const backlogTTL = 2 * time.Second

// Controller holds the newest view that an instance has received and what it has admitted since,
// and decides which jobs are refused. It is safe for concurrent use. The zero value decides by
// service and priority alone, and only while the owner reports; see New.
type Controller struct {
	mu   sync.Mutex
	view View
	// viewAt is when the view was computed.
	viewAt time.Time
	// weights is nil if workspaces are not distinguished.
	weights  Weights
	instance string
	admitted admittedJobs
	// pending is the memory of jobs that are being stored, memory that of those that were stored since the
	// view, and startLimit bounds both while there is no view.
	pending    int64
	memory     admittedMemory
	startLimit int64
	arrivals   arrivals
	line       retryLine
	// rounding is a number (0 to 1) that differs by view and instance; see classOfRegained.
	rounding float64
}

// New returns a controller that distinguishes workspaces, and that continues to decide while the
// owner is away. Instances round differently by their names.
func New(w Weights, instance string) *Controller {
	return &Controller{weights: w, instance: instance, line: newRetryLine()}
}

// Update replaces the view with the one reported at now.
func (c *Controller) Update(v View, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	computedAt := now.Add(-v.Age)
	if v.Term != 0 && v.Term < c.view.Term || v.Term == c.view.Term && computedAt.Before(c.viewAt) {
		// The answer of a superseded owner, or one that was overtaken. Owners of an earlier version
		// tell no term.
		return
	}
	c.view, c.viewAt = v, computedAt
	c.admitted = c.admitted.since(computedAt)
	c.memory = c.memory.since(computedAt)
	c.arrivals.update(&v, now)
	c.rounding = roundingOf(c.instance, computedAt)
}

// Age returns the age of the view, or 0 if there is none.
func (c *Controller) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.viewAt.IsZero() {
		return 0
	}
	return now.Sub(c.viewAt)
}

// Wait returns the longest known wait for work of a service and priority that is accepted now,
// or 0 if no recent backlog is known. The age of the backlog is subtracted, because the workers
// have made progress since.
func (c *Controller) Wait(service string, priority int, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recentWait(service, priority, now)
}

func (c *Controller) recentWait(service string, priority int, now time.Time) time.Duration {
	age := now.Sub(c.viewAt)
	if age > backlogTTL {
		return 0
	}
	return max(0, c.view.longest(service, priority, func(b Backlog) time.Duration { return b.Wait })-age)
}

// LimitMemory sets how many bytes of jobs are admitted without a view. It must be called before the
// controller is used.
func (c *Controller) LimitMemory(bytes int64) { c.startLimit = bytes }

// Judge decides on a job. It is refused if the owner has no memory for it. Otherwise long-running and
// scheduled jobs have no limit, and the other ones are refused if their expected wait exceeds limitOf,
// which affects the less urgent queues first, and in each queue the shortest jobs. Settle must be called
// with the verdict, unless the job is refused.
func (c *Controller) Judge(r *job.Record, now time.Time) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fitsMemory(r, now) {
		return Verdict{Class: NoShare, Refuse: true, NoMemory: true, ViewAge: now.Sub(c.viewAt)}
	}
	v := c.judgeWait(r, now)
	if !v.Refuse {
		v.bytes = jobmemory.Of(r)
		c.pending += v.bytes
	}
	return v
}

// Settle ends the reservation of memory that goes with a verdict, once the job is stored, or not. In doubt
// it counts as stored.
func (c *Controller) Settle(v Verdict, stored bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending -= v.bytes
	if stored && v.bytes > 0 {
		c.memory = append(c.memory, admittedBytes{at: now.Add(learnedAfter), bytes: v.bytes})
	}
}

// judgeWait decides on a job by its expected wait. c.mu must be held.
func (c *Controller) judgeWait(r *job.Record, now time.Time) Verdict {
	if r.Schedule != nil || r.LongRunning() {
		return Verdict{Class: NoShare}
	}
	if c.weights != nil {
		return c.judge(r, now)
	}
	wait, limit := c.recentWait(r.Service, r.Priority, now), limitOf(r, NoShare)
	return Verdict{Class: NoShare, Wait: wait, Limit: limit, Refuse: wait > limit, ViewAge: now.Sub(c.viewAt)}
}

// Admitted records that a job was accepted.
func (c *Controller) Admitted(r *job.Record, v Verdict, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.weights == nil {
		return
	}
	c.arrivals.admitted()
	if r.Schedule != nil || r.LongRunning() {
		return
	}
	c.line.admitted(r)
	c.admitted = append(c.admitted.since(now.Add(-forgottenAfter)), admittedJob{at: now, service: r.Service, workspace: r.Workspace, priority: r.Priority, class: v.Class, work: WorkOf(r)})
}

// Refused records that a job is refused, and returns the delay after which its caller should
// retry.
func (c *Controller) Refused(r *job.Record, v Verdict, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	load, known := c.view.load(r.Service)
	if v.Class == NoShare || !known {
		return min(max(v.Wait-v.Limit, minRetryAfter), maxRetryAfter)
	}
	return c.line.add(r, v.Wait, time.Duration(c.arrivals.ratio()*float64(WorkOf(r).On(load.Capacity))), now)
}

// ShouldRefuse reports whether a job should be refused and, if so, after which delay its caller
// should retry.
func (c *Controller) ShouldRefuse(r *job.Record, now time.Time) (retryAfter time.Duration, refuse bool) {
	v := c.Judge(r, now)
	if !v.Refuse {
		return 0, false
	}
	return c.Refused(r, v, now), true
}
