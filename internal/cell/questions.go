package cell

import (
	"time"

	"gentianstand/internal/job"
)

// prefetchShare is the share of the adviser's lanes for slow calls that questions about full
// workers may use at the same time.
const prefetchShare = 0.5

// question is one to the adviser that is under way.
type question struct {
	// prefetch says that it is about workers without room alone.
	prefetch bool
	// slow says that it takes a lane for slow calls; see AdviceSlots.
	slow bool
	// longRunning says that it is about tasks that last.
	longRunning bool
	// askedAt is when it was asked.
	askedAt time.Time
}

// questions are those under way, by the stage that asks.
type questions map[job.StageID]question

// slowPending returns how many slow questions of a kind are under way, and how many lanes for
// slow calls there are, free ones among them.
func (q questions) slowPending(free AdviceSlots, kind func(question) bool) (n, lanes int) {
	lanes = free.Any
	for _, asked := range q {
		if !asked.slow {
			continue
		}
		lanes++
		if kind(asked) {
			n++
		}
	}
	return n, lanes
}

// mayPrefetch reports whether a slow question about full workers may begin beside those
// under way. free are the lanes that are free. Such questions of urgent queues must not
// take all lanes, or others would never be asked about beside free workers.
func (q questions) mayPrefetch(free AdviceSlots) bool {
	prefetches, lanes := q.slowPending(free, func(asked question) bool { return asked.prefetch })
	return float64(prefetches+1) <= max(1, prefetchShare*float64(lanes))
}

// mayAskLongRunning reports whether a question about tasks that last may begin before all others,
// beside those under way. One lane is left to others: after a restart of everything there are
// more such questions than lanes for many seconds.
func (q questions) mayAskLongRunning(free AdviceSlots) bool {
	longRunning, lanes := q.slowPending(free, func(asked question) bool { return asked.longRunning })
	return longRunning+1 <= max(1, lanes-1)
}
