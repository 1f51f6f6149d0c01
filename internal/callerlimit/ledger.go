package callerlimit

import (
	"container/list"
	"sync"
	"time"
)

// stallTime is the time without progress after which a connection that waits for its caller counts as
// stalled. A connection recovers from the loss of a packet within this time.
const stallTime = 500 * time.Millisecond

// Ledger records what an instance holds for its callers, and decides what it may hold in addition. It is
// safe for concurrent use.
type Ledger struct {
	limits Limits

	mu   sync.Mutex
	open int
	// leaving is the number of open connections that have been evicted.
	leaving   int
	bodyBytes int64
	inService int
	// waiting contains the slots that wait for their callers, in the order of their last progress.
	waiting *list.List
}

// NewLedger returns a ledger with the given limits.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, waiting: list.New()}
}

// Usage returns what is held now.
func (l *Ledger) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{Connections: l.open, BodyBytes: l.bodyBytes, Requests: l.inService}
}

// Open takes a new connection and returns its slot, or nil if there is no place for it. The connections
// in evicted must be interrupted, also if there is no place. They are evicted before the limit is reached,
// because one that receives a body is given time to tell its caller.
func (l *Ledger) Open(c Connection, now time.Time) (s *Slot, evicted []Connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open-l.leaving >= l.evictionThreshold() {
		stalled := l.longestStalled(now)
		if stalled == nil {
			break
		}
		evicted = append(evicted, l.evict(stalled))
	}
	if l.open >= l.limits.Connections {
		return nil, evicted
	}
	l.open++
	s = &Slot{ledger: l, connection: c}
	s.startWaiting(now)
	return s, evicted
}

// evictionThreshold is the number of connections from which a new one evicts another.
func (l *Ledger) evictionThreshold() int { return l.limits.Connections - l.limits.Connections/8 }

// longestStalled returns the slot that has made no progress for the longest time, or nil if it is not
// stalled.
func (l *Ledger) longestStalled(now time.Time) *Slot {
	oldest := l.waiting.Front()
	if oldest == nil || !oldest.Value.(*Slot).isStalled(now) {
		return nil
	}
	return oldest.Value.(*Slot)
}

// evict takes away the place of a slot that waits for its caller. The slot counts as open until its
// connection is closed.
func (l *Ledger) evict(s *Slot) Connection {
	s.stopWaiting()
	s.releaseBody()
	s.evicted = true
	l.leaving++
	return s.connection
}

// makeRoom evicts slots until a slot may hold n bytes in addition, and returns their connections. ok is
// false if it may not hold them. A body is always accepted while there is no other.
func (l *Ledger) makeRoom(s *Slot, n int64, now time.Time) (evicted []Connection, ok bool) {
	for l.bodyBytes+n > l.limits.BodyBytes && l.bodyBytes > s.bodyBytes {
		victim := l.victimFor(s, n, now)
		if victim == nil {
			return evicted, false
		}
		evicted = append(evicted, l.evict(victim))
	}
	return evicted, true
}

// victimFor returns the slot that gives up its unfinished body so that s may hold n bytes in addition, or
// nil. It is the largest body that is stalled. If there is none, it is the largest one, which must be
// larger than that of s.
func (l *Ledger) victimFor(s *Slot, n int64, now time.Time) *Slot {
	var stalled, largest *Slot
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		other := e.Value.(*Slot)
		if other == s || other.bodyBytes == 0 {
			continue
		}
		if other.isStalled(now) && (stalled == nil || other.bodyBytes > stalled.bodyBytes) {
			stalled = other
		}
		if largest == nil || other.bodyBytes > largest.bodyBytes {
			largest = other
		}
	}
	if stalled != nil {
		return stalled
	}
	if largest != nil && largest.bodyBytes > s.bodyBytes+n {
		return largest
	}
	return nil
}
