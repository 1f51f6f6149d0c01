package routing

import (
	"context"
	"sync"
	"time"

	"gentianstand/internal/fault"
)

// pool holds the upstreams and the wait queue of one service.
type pool struct {
	router  *Router
	service string

	mu          sync.Mutex
	upstreams   []*upstream
	queue       queue
	sequence    uint64
	meanLatency time.Duration
	retryBudget float64
}

func newPool(r *Router, service string) *pool {
	return &pool{router: r, service: service, meanLatency: initialLatency, retryBudget: retryBurst}
}

// tryAcquire takes a slot if one is free and no request is waiting.
func (p *pool) tryAcquire(g *Grant, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.len() == 0 && p.pickLocked(g, now)
}

// acquire takes a slot or waits for one. It returns an error immediately if the queue is full
// or the expected wait exceeds the deadline, so that no caller waits only to be refused.
func (p *pool) acquire(ctx context.Context, g *Grant, req Request, now time.Time) error {
	w, err := p.enqueue(g, req, now)
	if err != nil || w == nil {
		return err
	}
	timer := time.NewTimer(req.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case err := <-w.result:
		return err
	case <-timer.C:
		return p.cancelWait(w, fault.New(fault.DeadlineExceeded, "no slot of service %s became free in time", p.service))
	case <-ctx.Done():
		return p.cancelWait(w, fault.New(fault.DeadlineExceeded, "the caller went away while waiting: %w", ctx.Err()))
	}
}

// enqueue takes a free slot and returns nil, or queues the request and returns its waiter.
func (p *pool) enqueue(g *Grant, req Request, now time.Time) (*waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget = min(p.retryBudget+retryRatio, retryBurst)
	if p.queue.len() == 0 && p.pickLocked(g, now) {
		return nil, nil
	}
	p.sequence++
	w := &waiter{grant: g, rank: req.Rank, deadline: req.Deadline, sequence: p.sequence, result: make(chan error, 1)}
	if wait := p.expectedWaitLocked(w); now.Add(wait).After(req.Deadline) {
		return nil, p.overloaded(wait)
	}
	if p.queue.len() >= p.queueBoundLocked() && !p.evictLocked(w) {
		return nil, p.overloaded(p.expectedWaitLocked(w))
	}
	p.queue.push(w)
	return w, nil
}

// evictLocked refuses the last waiter if w is more urgent, to make space in the queue.
func (p *pool) evictLocked(w *waiter) bool {
	last := p.queue.last()
	if last == nil || last.rank <= w.rank {
		return false
	}
	p.queue.remove(last)
	last.result <- p.overloaded(p.expectedWaitLocked(last))
	return true
}

// cancelWait removes a waiter from the queue and returns err with a retry delay. If a slot was
// granted at the same time, the slot is kept and the request continues.
func (p *pool) cancelWait(w *waiter, err error) error {
	p.mu.Lock()
	removed := p.queue.remove(w)
	wait := p.expectedWaitLocked(w)
	p.mu.Unlock()
	if !removed {
		return <-w.result
	}
	return fault.From(err).WithRetryAfter(max(wait, time.Second))
}

func (p *pool) overloaded(wait time.Duration) error {
	return fault.New(fault.Overloaded, "service %s is full; the expected wait is %s", p.service, wait.Round(time.Millisecond)).
		WithRetryAfter(max(wait, time.Second))
}

// pickLocked takes a slot for g on the upstream with the lowest cost. Ejected upstreams are
// skipped unless they are more than half of all upstreams. In that case the fault is more
// likely in this instance or in the network, and all upstreams are tried.
func (p *pool) pickLocked(g *Grant, now time.Time) bool {
	skip := p.ejectedLocked(now)
	if 2*len(skip) > len(p.upstreams) {
		skip = nil
	}
	for {
		best := p.cheapestLocked(skip)
		if best == nil {
			return false
		}
		g.GrantedAt, g.pool, g.upstream = now, p, best
		// The pool of another service may have taken the slot in the meantime.
		if best.tryTake(g) {
			return true
		}
	}
}

func (p *pool) ejectedLocked(now time.Time) map[*upstream]bool {
	var skip map[*upstream]bool
	for _, u := range p.upstreams {
		u.mu.Lock()
		if u.ejectedLocked(now) {
			if skip == nil {
				skip = map[*upstream]bool{}
			}
			skip[u] = true
		}
		u.mu.Unlock()
	}
	return skip
}

func (p *pool) cheapestLocked(skip map[*upstream]bool) *upstream {
	var best *upstream
	lowest := 0.0
	for _, u := range p.upstreams {
		if skip[u] {
			continue
		}
		u.mu.Lock()
		free, cost := u.freeLocked(), u.costLocked()
		u.mu.Unlock()
		if free > 0 && (best == nil || cost < lowest) {
			best, lowest = u, cost
		}
	}
	return best
}

// dispatch grants free slots to waiters, the most urgent first. A waiter whose deadline leaves
// no time for the work itself is refused, because serving it would use a slot without a useful
// result.
func (p *pool) dispatch(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for w := p.queue.head(); w != nil; w = p.queue.head() {
		if now.Add(p.meanLatency / 2).After(w.deadline) {
			p.queue.remove(w)
			w.result <- fault.New(fault.DeadlineExceeded, "a slot of service %s came too late", p.service)
			continue
		}
		if !p.pickLocked(w.grant, now) {
			return
		}
		p.queue.remove(w)
		w.result <- nil
	}
}

// expectedWaitLocked estimates how long w would wait for a slot.
func (p *pool) expectedWaitLocked(w *waiter) time.Duration {
	ahead := 1
	for _, other := range p.queue.items {
		if other.before(w) {
			ahead++
		}
	}
	slots := max(p.slotsLocked(), 1)
	return p.meanLatency * time.Duration(ahead) / time.Duration(slots)
}

func (p *pool) queueBoundLocked() int { return max(queuePerSlot*p.slotsLocked(), minQueueLength) }

func (p *pool) slotsLocked() int {
	slots := 0
	for _, u := range p.upstreams {
		u.mu.Lock()
		if u.info.Open {
			slots += u.info.Slots
		}
		u.mu.Unlock()
	}
	return slots
}

func (p *pool) observeLatency(sample time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meanLatency += time.Duration(latencyWeight * float64(sample-p.meanLatency))
}

// mayRetry takes a retry from the budget and reports whether one was left.
func (p *pool) mayRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retryBudget < 1 {
		return false
	}
	p.retryBudget--
	return true
}
