package cell

import (
	"time"

	"gentianstand/internal/job"
)

// prefetchShare is the share of the adviser's lanes for slow calls that questions about full
// workers may use at the same time.
const prefetchShare = 0.5

// adviceCall is one to the adviser that is under way.
type adviceCall struct {
	// prefetch says that it is about workers without room alone.
	prefetch bool
	// slow says that it takes a lane for slow calls; see AdviceSlots.
	slow bool
	// longRunning says that it is about tasks that last.
	longRunning bool
	// askedAt is when it was asked.
	askedAt time.Time
}

// adviceCalls are those under way, by the stage that asks.
type adviceCalls map[job.StageID]adviceCall

// slowPending returns how many slow questions of a kind are under way, and how many lanes for
// slow calls there are, free ones among them.
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

// mayPrefetch reports whether a slow question about full workers may begin beside those
// under way. free are the lanes that are free. Such questions of urgent queues must not
// take all lanes, or others would never be asked about beside free workers.
func (c adviceCalls) mayPrefetch(free AdviceSlots) bool {
	prefetches, slots := c.slowPending(free, func(asked adviceCall) bool { return asked.prefetch })
	return float64(prefetches+1) <= max(1, prefetchShare*float64(slots))
}

// mayAskLongRunning reports whether a question about tasks that last may begin before all others,
// beside those under way. One lane is left to others: after a restart of everything there are
// more such questions than lanes for many seconds.
func (c adviceCalls) mayAskLongRunning(free AdviceSlots) bool {
	longRunning, slots := c.slowPending(free, func(asked adviceCall) bool { return asked.longRunning })
	return longRunning+1 <= max(1, slots-1)
}
