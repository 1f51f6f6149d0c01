package membership

import (
	"sync"
	"time"
)

// Session is what a process knows about its own right to act. It is safe for
// concurrent use.
type Session struct {
	timing Timing

	mu          sync.Mutex
	renewedAt   time.Time
	tableAt     time.Time
	failedAt    time.Time
	lost        bool
	confirmedAt time.Time
}

// NewSession returns a session that has not been renewed. now counts as the
// last answer of the table, so that a process started in an outage does not
// vouch before it has tried.
func NewSession(timing Timing, now time.Time) *Session {
	return &Session{timing: timing, tableAt: now}
}

// Renewed notes a successful renewal that was begun at sentAt.
func (s *Session) Renewed(sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sentAt.After(s.renewedAt) {
		s.renewedAt = sentAt
	}
}

// TableAnswered notes that the table answered a call begun at sentAt.
func (s *Session) TableAnswered(sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sentAt.After(s.tableAt) {
		s.tableAt = sentAt
	}
}

// TableFailed notes that a call of the table got no answer.
func (s *Session) TableFailed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt = now
}

// TableUnresponsive reports whether the table has not answered for VouchAfter although it
// was asked of late. A process that was frozen has heard nothing for long, but
// that says nothing about the table.
func (s *Session) TableUnresponsive(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked := !s.failedAt.IsZero() && now.Sub(s.failedAt) < s.timing.AttestationTTL
	return !s.lost && asked && now.Sub(s.tableAt) >= s.timing.AttestAfter
}

// MarkLost ends the session for good: another process has taken this row.
func (s *Session) MarkLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = true
}

// OutageConfirmed notes that a majority of electors vouched, asked at askedAt.
func (s *Session) OutageConfirmed(askedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if askedAt.After(s.confirmedAt) {
		s.confirmedAt = askedAt
	}
}

// Valid reports whether the session itself covers now. It is checked again
// right before every effect: a process that was frozen finds out here.
func (s *Session) Valid(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.validLocked(now)
}

// MayAct reports whether effects on workers are allowed at now: the session
// is valid, or an outage of the table is confirmed.
func (s *Session) MayAct(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.validLocked(now) || s.outageLocked(now)
}

// Outage reports whether the right to act at now rests on a confirmed outage.
func (s *Session) Outage(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.validLocked(now) && s.outageLocked(now)
}

// SinceTableAnswer returns how long the table has not answered.
func (s *Session) SinceTableAnswer(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.tableAt)
}

// Lost reports whether Lose was called.
func (s *Session) Lost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

func (s *Session) validLocked(now time.Time) bool {
	return !s.lost && !s.renewedAt.IsZero() && now.Sub(s.renewedAt) < s.timing.Shorter(s.timing.SessionTTL)
}

func (s *Session) outageLocked(now time.Time) bool {
	if s.lost || s.renewedAt.IsZero() || s.confirmedAt.IsZero() {
		return false
	}
	fresh := now.Sub(s.confirmedAt) < s.timing.Shorter(s.timing.AttestationTTL)
	return fresh && now.Sub(s.renewedAt) < s.timing.Shorter(s.timing.OutageGrace)
}
