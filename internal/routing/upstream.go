package routing

import (
	"sync"
	"time"

	"gentianstand/internal/worker"
)

// upstream is a worker as a target of requests. Lock order: the lock of a pool is acquired
// before the lock of an upstream, never after it.
type upstream struct {
	mu           sync.Mutex
	info         WorkerInfo
	inFlight     map[string]*Grant
	latency      time.Duration
	failures     int
	ejectedUntil time.Time
	backoff      time.Duration
	probing      bool
}

func newUpstream(info WorkerInfo) *upstream {
	return &upstream{info: info, inFlight: map[string]*Grant{}, latency: initialLatency}
}

// freeLocked returns the number of slots that can be granted now. It ignores ejection, which
// the pool handles.
func (u *upstream) freeLocked() int {
	if !u.info.Open {
		return 0
	}
	return max(u.info.Slots-u.info.OlderRequests-len(u.inFlight), 0)
}

// costLocked returns a cost that is lower for an upstream that is expected to answer sooner.
func (u *upstream) costLocked() float64 {
	load := float64(len(u.inFlight)+u.info.OlderRequests+1) / float64(max(u.info.Slots, 1))
	return float64(u.latency) * load
}

func (u *upstream) ejectedLocked(now time.Time) bool {
	return now.Before(u.ejectedUntil) || (u.backoff > 0 && u.probing)
}

// tryTake grants a slot to g and reports whether one was free.
func (u *upstream) tryTake(g *Grant) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.freeLocked() == 0 {
		return false
	}
	u.inFlight[g.ID] = g
	u.probing = u.backoff > 0
	g.Worker, g.Address, g.Epoch = u.info.ID, u.info.Address, u.info.Epoch
	return true
}

// release returns the slot of g and updates latency and ejection from the result.
func (u *upstream) release(g *Grant, result Result, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.inFlight, g.ID)
	u.probing = false
	switch result {
	case Answered:
		u.failures, u.backoff, u.ejectedUntil = 0, 0, time.Time{}
		u.observeLatency(now.Sub(g.GrantedAt))
	case Failed:
		u.failures++
		if u.failures >= ejectAfter || u.backoff > 0 {
			u.eject(now)
		}
	}
}

func (u *upstream) observeLatency(sample time.Duration) {
	u.latency += time.Duration(latencyWeight * float64(sample-u.latency))
}

// eject excludes a failing upstream, each time for longer. A worker that fails fast always has
// free slots, so it would otherwise attract all requests.
func (u *upstream) eject(now time.Time) {
	u.backoff = min(max(2*u.backoff, minEjection), maxEjection)
	u.ejectedUntil = now.Add(u.backoff)
}

// unanswered returns the ids of requests that were granted before since and whose response has
// not started.
func (u *upstream) unanswered(since time.Time) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var ids []string
	for id, g := range u.inFlight {
		if g.GrantedAt.Before(since) && !g.responseStarted.Load() {
			ids = append(ids, id)
		}
	}
	return ids
}

func (u *upstream) grant(id string) *Grant {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.inFlight[id]
}

func (u *upstream) resolve(request string, state worker.RequestState, now time.Time) {
	g := u.grant(request)
	if g == nil || g.responseStarted.Load() {
		return
	}
	switch {
	case state == worker.RequestRevoked:
		g.cancel(ErrNeverArrived)
	case state == worker.RequestFinished && g.finishedFor(now) >= answerGrace:
		g.cancel(ErrAnswerLost)
	}
}
