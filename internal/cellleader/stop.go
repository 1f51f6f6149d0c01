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
	l.handOverTo(ctx, t, known, l.successors(ctx, known))
}

// awaitSoleOwnership waits until no previous owner can act any more, so that a successor does not
// have to consider any of them.
func (t *term) awaitSoleOwnership(ctx context.Context) {
	if t.previousStopped {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(t.began.Add(confirmationTTL))):
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

// Ping answers a ping of another instance.
func (l *Leader) Ping(r *cellpb.PingRequest) *cellpb.PingReply {
	if r.From != l.directory.Self().Name {
		l.pingReceived.Store(true)
	}
	if r.Claim != nil {
		l.updateClaim(claimFrom(r.Claim))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &cellpb.PingReply{Claim: l.known.message(), Term: l.reportedTermLocked(), Owner: l.term != nil, StoreOk: l.store.Reachable(), HeardMillis: -1,
		Stopping: l.stopping, StoreLostMillis: l.store.UnreachableFor(time.Now()).Milliseconds()}
	if !l.ownerSeenAt.IsZero() {
		reply.HeardMillis = time.Since(l.ownerSeenAt).Milliseconds()
	}
	if l.term != nil {
		if r.Term > l.term.number {
			l.log.WithFields(logrus.Fields{"from": r.From, "term": r.Term}).Info("later_term_heard")
			l.term.Superseded("another instance knows a later term")
			reply.Owner = false
			return reply
		}
		l.term.pingReceived(r, time.Now())
	}
	return reply
}

// reportedTermLocked returns the term that this instance knows. While the answer to the write of its
// own claim is pending, that is the previous one: the term begins only with the answer, so an
// instance that read the claim earlier must not conclude that the term is over. The caller holds
// l.mu.
func (l *Leader) reportedTermLocked() uint64 {
	if l.claiming > 0 && l.known.Term == l.claiming && l.known.Incarnation == l.directory.Self().Incarnation {
		return l.claiming - 1
	}
	return l.known.Term
}
