package relay

import (
	"time"

	"gentianstand/internal/runner"
)

// pollFrom returns the frame form of a poll.
func pollFrom(l runner.Poll) *poll {
	w := &poll{Token: l.Token, Acknowledged: l.Acknowledged, WaitMillis: l.Wait.Milliseconds()}
	if l.LeaseUntil != nil {
		ms := l.LeaseUntil.Milliseconds()
		w.LeaseMillis = &ms
	}
	return w
}

// toRunner is the inverse of pollFrom.
func (l *poll) toRunner() runner.Poll {
	r := runner.Poll{Token: l.Token, Acknowledged: l.Acknowledged, Wait: time.Duration(l.WaitMillis) * time.Millisecond}
	if l.LeaseMillis != nil {
		until := time.Duration(*l.LeaseMillis) * time.Millisecond
		r.LeaseUntil = &until
	}
	return r
}

// startFrom returns the frame form of a start.
func startFrom(s runner.Start) *start {
	return &start{Task: s.Task, Run: s.Run, Token: s.Token, LeaseMillis: s.LeaseUntil.Milliseconds(), Checkpoint: s.Checkpoint, Ticket: s.Ticket, Spec: s.Spec}
}

// toRunner is the inverse of startFrom.
func (s *start) toRunner() runner.Start {
	return runner.Start{Task: s.Task, Run: s.Run, Token: s.Token, LeaseUntil: time.Duration(s.LeaseMillis) * time.Millisecond,
		Checkpoint: s.Checkpoint, Ticket: s.Ticket, Spec: s.Spec}
}
