package cell

import (
	"time"

	"gentianstand/internal/job"
)

// prefetchShare is the share of the concurrency slots for slow calls that may be used for
// calls about full workers.
const prefetchShare = 0.5

// adviceCall is a pending adviser call.
type adviceCall struct {
	// prefetch is set if the call names only workers without free capacity.
	prefetch bool
	// slow is set if the call uses a slot for slow calls; see AdviceSlots.
	slow bool
	// longRunning is set if the call is for long-running tasks.
	longRunning bool
	// workers are the workers that the call names.
	workers []*worker
	// askedAt is when the call started.
	askedAt time.Time
}

// adviceCalls holds the pending adviser calls by stage.
type adviceCalls map[job.StageID]adviceCall

// slowPending returns how many pending slow calls match kind, and the total number of
// concurrency slots for slow calls, including free ones.
func (c adviceCalls) slowPending(free AdviceSlots, kind func(adviceCall) bool) (n, slots int) {
	slots = free.Any
	for _, call := range c {
		if !call.slow {
			continue
		}
		slots++
		if kind(call) {
			n++
		}
	}
	return n, slots
}

// mayPrefetch reports whether a slow call about full workers may start. Prefetch calls of
// urgent queues must not use all slots, as other stages could then never ask about workers
// with free capacity.
func (c adviceCalls) mayPrefetch(free AdviceSlots) bool {
	prefetches, slots := c.slowPending(free, func(asked adviceCall) bool { return asked.prefetch })
	return float64(prefetches+1) <= max(1, prefetchShare*float64(slots))
}

// mayAskLongRunning reports whether a call for long-running tasks may start ahead of all
// others. One slot is left to other calls: after a restart of the whole system there are more
// such calls than slots for many seconds. Tasks that have been down for long use that one, too.
func (c adviceCalls) mayAskLongRunning(free AdviceSlots, downForLong bool) bool {
	if downForLong {
		return true
	}
	longRunning, slots := c.slowPending(free, func(asked adviceCall) bool { return asked.longRunning })
	return longRunning+1 <= max(1, slots-1)
}
