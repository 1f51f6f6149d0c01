package cell

import "time"

// verdict is the adviser's answer about one worker for a stage.
type verdict struct {
	// incarnation is the worker incarnation to which the verdict applies.
	incarnation *incarnationState
	// approved is true if the worker may run the stage.
	approved bool
	// ticket proves the approval to the worker until expiresAt.
	ticket    string
	expiresAt time.Time
	// used is set once a task was started with the ticket.
	used bool
	// counted is set once the ticket was counted as expired unused.
	counted bool
}

// adviceState holds a stage's verdicts and the state of its adviser call.
type adviceState struct {
	verdicts map[*worker]verdict
	pending  bool
	// retryAt is the earliest time for the next call after a failure.
	retryAt time.Time
	// unusable is the number of consecutive calls for a long-running task, about workers with
	// free capacity, that returned no ticket for such a worker.
	unusable int
	// live holds the answers whose tickets have not expired, oldest first.
	live []issuedTickets
	// scanAt is when the workers may be scanned again for a call, scanDelay after a scan without one.
	scanAt    time.Time
	scanDelay time.Duration
}

// delayScan sets when the workers may be scanned again.
func (s *adviceState) delayScan(now time.Time) {
	s.scanDelay = min(max(rescanDelay, 2*s.scanDelay), maxRescanDelay)
	s.scanAt = now.Add(s.scanDelay)
}

// dropExpired drops the answers whose tickets have expired.
func (s *adviceState) dropExpired(now time.Time) {
	n := 0
	for n < len(s.live) && !now.Before(s.live[n].expiresAt) {
		n++
	}
	s.live = s.live[n:]
}

// verdictFor returns the verdict on a worker's current incarnation.
func (s *adviceState) verdictFor(w *worker) (v verdict, known bool) {
	v, known = s.verdicts[w]
	if !known || v.incarnation != w.incarnationState {
		return verdict{}, false
	}
	return v, true
}

// waits reports whether a call is pending or was answered with an error just now.
func (s *adviceState) waits(now time.Time) bool { return s.pending || now.Before(s.retryAt) }

// countUnusable records whether a call returned a ticket for a worker with free capacity.
func (s *adviceState) countUnusable(usable bool) {
	if usable {
		s.unusable = 0
		return
	}
	s.unusable++
}

// leastAsked returns the least size of the next call. Most of a call's duration does not depend
// on its size. If all calls were small, a task could be down for as many calls in series as there
// are groups of workers to ask about.
func (s *adviceState) leastAsked() int {
	least := minAskedWorkers
	for range s.unusable {
		least = min(2*least, maxAskedWorkers)
	}
	return least
}

// allows reports whether the stage holds a ticket for a worker, and the ticket expires after
// until.
func (s *adviceState) allows(w *worker, until time.Time) bool {
	v, _ := s.verdictFor(w)
	return v.approved && until.Before(v.expiresAt)
}

// holds reports whether the stage's newest ticket for a worker is one that expires at the given time.
func (s *adviceState) holds(w *worker, expiresAt time.Time) bool {
	v, _ := s.verdictFor(w)
	return v.approved && v.expiresAt.Equal(expiresAt)
}

// expire invalidates a worker's ticket, so that the stage requests a new one before it uses
// the worker.
func (s *adviceState) expire(w *worker) {
	v := s.verdicts[w]
	v.expiresAt = time.Time{}
	s.verdicts[w] = v
}
