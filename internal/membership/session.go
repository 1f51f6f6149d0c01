package membership

import (
	"sync"
	"time"
)

// Session tracks a process's own right to act. It is safe for concurrent use.
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
// last answer of the table, so that a process started during an outage attests
// nothing before it has called the table itself.
func NewSession(timing Timing, now time.Time) *Session {
	return &Session{timing: timing, tableAt: now}
}

// Renewed records a successful renewal that began at sentAt.
func (s *Session) Renewed(sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sentAt.After(s.renewedAt) {
		s.renewedAt = sentAt
	}
}

// TableAnswered records that the table answered a call that began at sentAt.
func (s *Session) TableAnswered(sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sentAt.After(s.tableAt) {
		s.tableAt = sentAt
	}
}

// TableFailed records that a call of the table got no answer.
func (s *Session) TableFailed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt = now
}

// TableUnresponsive reports whether the table has not answered for AttestAfter
// although it was called recently. A process that was frozen has received no
// answers for long either, but that is no evidence of an outage.
func (s *Session) TableUnresponsive(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked := !s.failedAt.IsZero() && now.Sub(s.failedAt) < s.timing.AttestationTTL
	return !s.lost && asked && now.Sub(s.tableAt) >= s.timing.AttestAfter
}

// MarkLost ends the session permanently because another process has taken this
// row.
func (s *Session) MarkLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = true
}

// OutageConfirmed records that a majority of electors attested the outage when
// asked at askedAt.
func (s *Session) OutageConfirmed(askedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if askedAt.After(s.confirmedAt) {
		s.confirmedAt = askedAt
	}
}

// Valid reports whether the session is valid at now. It is checked again right
// before every effect, so that a process that was frozen detects its expired
// session.
func (s *Session) Valid(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.validLocked(now)
}

// MayAct reports whether actions on workers are allowed at now: the session is
// valid, or an outage of the table is confirmed.
func (s *Session) MayAct(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.validLocked(now) || s.outageLocked(now)
}

// Outage reports whether the right to act at now is based on a confirmed
// outage.
func (s *Session) Outage(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.validLocked(now) && s.outageLocked(now)
}

// SinceTableAnswer returns the time since the last answer of the table.
func (s *Session) SinceTableAnswer(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.tableAt)
}

// Lost reports whether MarkLost was called.
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
