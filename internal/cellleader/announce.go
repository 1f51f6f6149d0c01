package cellleader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
)

// announce sends this instance's claim to the other instances until each has answered or is not listed
// any more, or a later claim is known. An instance that does not know the claim confirms the previous
// owner, and reports the jobs that it accepts to it. The previous owner stops acting when it receives
// the claim. A term that has ended is announced, too, because it has superseded the one before.
func (l *Leader) announce(t *term, c claim) {
	heard := l.announceOnce(t, c)
	l.log.WithFields(logrus.Fields{"term": c.Term, "heard": heard}).Info("ownership_announced")
	for pause := minAnnouncePause; l.mustAnnounce(t, c); pause = min(2*pause, maxAnnouncePause) {
		if !l.pauseAnnouncing(pause) {
			return
		}
		l.announceOnce(t, c)
	}
}

// mustAnnounce reports whether a claim is the newest and some instance may not know it.
func (l *Leader) mustAnnounce(t *term, c claim) bool {
	return l.current().version == c.version && len(t.informed.missing(l.directory.Others())) > 0
}

// pauseAnnouncing waits, and reports whether this instance still runs.
func (l *Leader) pauseAnnouncing(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-l.finished:
		return false
	case <-timer.C:
		return true
	}
}

// announceOnce sends a claim to the instances that may not know it, and returns how many answered. A
// connection without an answer may have become unresponsive, so the next attempt opens a new one.
func (l *Leader) announceOnce(t *term, c claim) int {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	ping := &cellpb.PingRequest{From: l.directory.Self().Name, Term: c.Term, Claim: c.message()}
	heard := 0
	for answer := range l.clients.PingAll(ctx, t.informed.missing(l.directory.Others()), ping) {
		if answer.Reply == nil {
			l.clients.CloseIdle(answer.Instance.Address)
			continue
		}
		heard++
		l.announcementAnswered(t, answer, time.Now())
	}
	return heard
}

// announcementAnswered handles an instance's answer to the announcement of a term.
func (l *Leader) announcementAnswered(t *term, answer cellpeer.PingResult, now time.Time) {
	if answer.Reply.Term < t.number {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t.instanceInformed(answer.Instance.Name, now)
	if l.term == t && answer.Reply.Term == t.number && !answer.Reply.Owner {
		t.termKnownBy(answer.Instance.Name, now)
	}
}
