package relay

import (
	"time"

	"gentianstand/internal/runner"
)

func lookFrom(l runner.Poll) *look {
	w := &look{Token: l.Token, Acknowledged: l.Acknowledged, WaitMillis: l.Wait.Milliseconds()}
	if l.LeaseUntil != nil {
		ms := l.LeaseUntil.Milliseconds()
		w.LeaseMillis = &ms
	}
	return w
}

func (l *look) runner() runner.Poll {
	r := runner.Poll{Token: l.Token, Acknowledged: l.Acknowledged, Wait: time.Duration(l.WaitMillis) * time.Millisecond}
	if l.LeaseMillis != nil {
		until := time.Duration(*l.LeaseMillis) * time.Millisecond
		r.LeaseUntil = &until
	}
	return r
}

func startFrom(s runner.Start) *start {
	return &start{Task: s.Task, Run: s.Run, Token: s.Token, LeaseMillis: s.LeaseUntil.Milliseconds(), Saved: s.Checkpoint, Ticket: s.Ticket, Spec: s.Spec}
}

func (s *start) runner() runner.Start {
	return runner.Start{Task: s.Task, Run: s.Run, Token: s.Token, LeaseUntil: time.Duration(s.LeaseMillis) * time.Millisecond,
		Checkpoint: s.Saved, Ticket: s.Ticket, Spec: s.Spec}
}
