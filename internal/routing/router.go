package routing

import (
	"context"
	"slices"
	"sync"
	"time"

	"gentianstand/internal/fault"
	"gentianstand/internal/worker"
)

// Router assigns requests to the workers that this instance owns. It is safe for concurrent
// use; each pool and each upstream has its own lock.
type Router struct {
	mu        sync.RWMutex
	pools     map[string]*pool
	upstreams map[string]*upstream
}

// NewRouter returns a Router without workers.
func NewRouter() *Router {
	return &Router{pools: map[string]*pool{}, upstreams: map[string]*upstream{}}
}

// SetWorker adds a worker or replaces its state.
func (r *Router) SetWorker(info WorkerInfo, now time.Time) {
	r.mu.Lock()
	u, ok := r.upstreams[info.ID]
	if !ok {
		u = newUpstream(info)
		r.upstreams[info.ID] = u
	}
	u.mu.Lock()
	before := u.info.Services
	u.info = info
	u.mu.Unlock()
	if !ok || !slices.Equal(before, info.Services) {
		r.relinkLocked(u, info.Services)
	}
	r.mu.Unlock()
	r.slotFreed(u, now)
}

// CloseWorker stops routing to a worker that refused a request of the given epoch, until the
// owner provides a new state with SetWorker. Without this, the worker would be chosen again
// immediately, because a worker that refuses requests always has free slots.
func (r *Router) CloseWorker(id string, epoch uint64) {
	r.mu.RLock()
	u, ok := r.upstreams[id]
	r.mu.RUnlock()
	if !ok {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.info.Epoch == epoch {
		u.info.Open = false
	}
}

// RemoveWorker removes a worker. Requests in progress there continue; they are returned as a
// RemovedWorker, or nil if there are none.
func (r *Router) RemoveWorker(id string) *RemovedWorker {
	r.mu.Lock()
	u, ok := r.upstreams[id]
	if ok {
		r.relinkLocked(u, nil)
		delete(r.upstreams, id)
	}
	r.mu.Unlock()
	if !ok {
		return nil
	}
	rest := &RemovedWorker{upstream: u}
	if rest.Idle() {
		return nil
	}
	return rest
}

func (r *Router) relinkLocked(u *upstream, services []string) {
	for name, p := range r.pools {
		if !slices.Contains(services, name) {
			p.unlink(u)
		}
	}
	for _, name := range services {
		r.poolLocked(name).link(u)
	}
}

func (r *Router) poolLocked(service string) *pool {
	p, ok := r.pools[service]
	if !ok {
		p = newPool(r, service)
		r.pools[service] = p
	}
	return p
}

func (r *Router) pool(service string) *pool {
	r.mu.RLock()
	p, ok := r.pools[service]
	r.mu.RUnlock()
	if ok {
		return p
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.poolLocked(service)
}

// TryAcquire takes a slot for the service, or returns nil if none is free.
func (r *Router) TryAcquire(ctx context.Context, service string, req Request, now time.Time) *Grant {
	g := newGrant(ctx, req)
	if !r.pool(service).tryAcquire(g, now) {
		g.cancel(nil)
		return nil
	}
	return g
}

// Acquire takes a slot for the service and waits in the queue if none is free. The error is a
// *fault.Error; it is returned immediately if no slot can be expected before the deadline.
func (r *Router) Acquire(ctx context.Context, service string, req Request, now time.Time) (*Grant, error) {
	if !now.Before(req.Deadline) {
		return nil, fault.New(fault.DeadlineExceeded, "the deadline had passed on arrival")
	}
	g := newGrant(ctx, req)
	if err := r.pool(service).acquire(ctx, g, req, now); err != nil {
		g.cancel(nil)
		return nil, err
	}
	return g, nil
}

func newGrant(ctx context.Context, req Request) *Grant {
	g := &Grant{ID: req.ID}
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	return g
}

// MayRetry takes a retry from the budget of the service and reports whether one was left.
func (r *Router) MayRetry(service string) bool { return r.pool(service).mayRetry() }

// ObserveLatency records the latency of an answered request of the service.
func (r *Router) ObserveLatency(service string, took time.Duration) {
	r.pool(service).observeLatency(took)
}

// Slots returns the number of free slots and of all slots for each service at this instance.
func (r *Router) Slots() map[string]Slots {
	r.mu.RLock()
	defer r.mu.RUnlock()
	result := map[string]Slots{}
	for name, p := range r.pools {
		if s := p.slots(); s.Total > 0 {
			result[name] = s
		}
	}
	return result
}

// Unanswered returns the ids of requests on a worker that were granted before since and whose
// response has not started.
func (r *Router) Unanswered(id string, since time.Time) []string {
	r.mu.RLock()
	u, ok := r.upstreams[id]
	r.mu.RUnlock()
	if !ok {
		return nil
	}
	return u.unanswered(since)
}

// Resolve ends an unanswered request according to the state that the worker reports. A running
// request is only slow and continues. A finished request gets a grace period, because its
// answer may still be in transit.
func (r *Router) Resolve(workerID, request string, state worker.RequestState, now time.Time) {
	r.mu.RLock()
	u, ok := r.upstreams[workerID]
	r.mu.RUnlock()
	if !ok {
		return
	}
	u.resolve(request, state, now)
}

// slotFreed lets the waiters of the worker's services use a slot that became free.
func (r *Router) slotFreed(u *upstream, now time.Time) {
	u.mu.Lock()
	services := u.info.Services
	u.mu.Unlock()
	for _, name := range services {
		r.pool(name).dispatch(now)
	}
}

func (p *pool) link(u *upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(p.upstreams, u) {
		p.upstreams = append(p.upstreams, u)
	}
}

func (p *pool) unlink(u *upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams = slices.DeleteFunc(p.upstreams, func(o *upstream) bool { return o == u })
}

func (p *pool) slots() Slots {
	p.mu.Lock()
	defer p.mu.Unlock()
	var s Slots
	for _, u := range p.upstreams {
		u.mu.Lock()
		s.Free += u.freeLocked()
		if u.info.Open {
			s.Total += u.info.Slots
		}
		u.mu.Unlock()
	}
	s.Free = max(s.Free-p.queue.len(), 0)
	return s
}
