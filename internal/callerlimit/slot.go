package callerlimit

import (
	"container/list"
	"time"
)

// Slot is the place of one connection. A connection waits for its caller when it is new or idle, while it
// receives the header of a request, and after Receive while it receives a body. It does not wait between
// Serve and Wait.
type Slot struct {
	ledger     *Ledger
	connection Connection

	// The fields below are guarded by the mutex of the ledger.

	// element is the place in the list of waiting slots, or nil.
	element *list.Element
	// progressAt is when the slot began to wait, or received a part of a body since.
	progressAt time.Time
	bodyBytes  int64
	serving    bool
	evicted    bool
	closed     bool
}

// Serve begins, or continues after Receive, the execution of a request.
func (s *Slot) Serve() error {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	switch {
	case s.evicted || s.closed:
		return ErrEvicted
	case s.serving:
		return nil
	case s.ledger.inService >= s.ledger.limits.Requests:
		return ErrBusy
	}
	s.stopWaiting()
	s.serving = true
	s.ledger.inService++
	return nil
}

// Receive means that the connection waits for the body of its request. Requests that still arrive do not
// count as in progress.
func (s *Slot) Receive(now time.Time) error {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	if s.evicted || s.closed {
		return ErrEvicted
	}
	s.stopServing()
	s.startWaiting(now)
	return nil
}

// Hold adds n bytes to the memory that the body of the request takes, until Release, Wait or Close. The
// connections in evicted must be interrupted, also if Hold fails.
func (s *Slot) Hold(n int64, now time.Time) (evicted []Connection, err error) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	if s.evicted || s.closed {
		return nil, ErrEvicted
	}
	evicted, ok := s.ledger.makeRoom(s, n, now)
	if !ok {
		return evicted, ErrNoMemory
	}
	s.bodyBytes += n
	s.ledger.bodyBytes += n
	return evicted, nil
}

// Progress means that the connection has received a part of the body.
func (s *Slot) Progress(now time.Time) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	if s.element != nil {
		s.startWaiting(now)
	}
}

// Release frees the memory of a body that has been rejected.
func (s *Slot) Release() {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	s.releaseBody()
}

// Wait means that a request has ended and that the connection waits for the next one.
func (s *Slot) Wait(now time.Time) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	s.releaseBody()
	s.stopServing()
	if !s.evicted && !s.closed {
		s.startWaiting(now)
	}
}

// Close frees the place of a closed connection. Further calls have no effect.
func (s *Slot) Close() {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.releaseBody()
	s.stopServing()
	s.stopWaiting()
	s.ledger.open--
	if s.evicted {
		s.ledger.leaving--
	}
}

// isStalled reports whether a waiting slot has made no progress for some time.
func (s *Slot) isStalled(now time.Time) bool { return now.Sub(s.progressAt) >= stallTime }

// startWaiting puts the slot at the end of the list of waiting ones. The caller holds the mutex.
func (s *Slot) startWaiting(now time.Time) {
	s.stopWaiting()
	s.progressAt = now
	s.element = s.ledger.waiting.PushBack(s)
}

// stopWaiting removes the slot from the list of waiting ones. The caller holds the mutex.
func (s *Slot) stopWaiting() {
	if s.element != nil {
		s.ledger.waiting.Remove(s.element)
		s.element = nil
	}
}

// stopServing ends the request in progress, if any. The caller holds the mutex.
func (s *Slot) stopServing() {
	if s.serving {
		s.serving = false
		s.ledger.inService--
	}
}

// releaseBody frees the memory of the body. The caller holds the mutex.
func (s *Slot) releaseBody() {
	s.ledger.bodyBytes -= s.bodyBytes
	s.bodyBytes = 0
}
