package cellleader

import (
	"context"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
)

// HandOver releases the cell for a planned stop.
func (l *Leader) HandOver(ctx context.Context) {
	l.mu.Lock()
	l.stopping = true
	t, known := l.term, l.known
	l.mu.Unlock()
	if t == nil {
		return
	}
	t.awaitSoleOwnership(ctx)
	// An instance that has just restarted is the best successor in a rolling restart.
	l.directory.Refresh(ctx, directoryRefreshTimeout)
	l.handOverTo(ctx, t, known, l.successors(ctx, known))
}

// awaitSoleOwnership waits until no previous owner can act any more, so that a successor does not
// have to consider any of them.
func (t *term) awaitSoleOwnership(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(t.previousActsUntil())):
	}
}

// handOverTo ends this instance's term. It stores what is not stored yet, and asks the successors
// in turn to take over at once. The caller determines them beforehand, because no task starts
// after the end of the term.
func (l *Leader) handOverTo(ctx context.Context, t *term, known claim, successors []cellpeer.Instance) {
	t.end()
	t.flush(ctx)
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	l.mu.Lock()
	if l.term == t {
		l.term = nil
	}
	l.mu.Unlock()
	for _, next := range successors {
		reply, err := l.clients.To(next.Address).TakeOver(ctx, &cellpb.TakeOverRequest{From: l.directory.Self().Name, Term: known.Term})
		if err == nil && reply.Taken {
			l.log.WithFields(logrus.Fields{"term": known.Term, "to": next.Name}).Info("ownership_handed_over")
			return
		}
		l.log.WithField("to", next.Name).WithError(err).Info("hand_over_refused")
	}
	released := known
	released.Released, released.PredecessorMayAct = true, false
	if _, err := l.write(ctx, released, known.version); err != nil {
		// The other instances find that this one is unresponsive or owns nothing.
		l.log.WithError(err).Warn("ownership_not_released")
	}
}

// successors returns the instances that can take over, the strongest first, and among equals the
// youngest first: in a rolling restart the youngest is the one that will not be restarted again.
func (l *Leader) successors(ctx context.Context, known claim) []cellpeer.Instance {
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var list []cellpeer.Instance
	for answer := range l.pingAll(callCtx, l.directory.Others(), known.Term) {
		if answer.Reply.GetStoreOk() && !answer.Reply.GetStopping() {
			list = append(list, answer.Instance)
		}
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].Cores != list[b].Cores {
			return list[a].Cores > list[b].Cores
		}
		return list[a].StartedAt.After(list[b].StartedAt)
	})
	return list
}

// TakeOver makes this instance the owner because the owner of a term releases the cell. It
// reports whether this or another instance has taken over.
func (l *Leader) TakeOver(ctx context.Context, from string, term uint64) bool {
	l.mu.Lock()
	known, stopping := l.known, l.stopping
	l.mu.Unlock()
	if stopping {
		return false
	}
	if known.Term != term {
		l.refresh(ctx)
		l.mu.Lock()
		known = l.known
		l.mu.Unlock()
	}
	if known.Term > term {
		// Another instance has taken over already, which is what the caller wants.
		return true
	}
	if known.Term != term || known.Holder != from {
		return false
	}
	return l.tryTakeOver(ctx, known, takeOver{reason: "the owner gave the cell up", previousStopped: true, handedOver: true})
}
