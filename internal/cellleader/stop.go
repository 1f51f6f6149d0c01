package cellleader

import (
	"context"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
)

// HandOver gives the cell up for a planned stop: it stores what is not stored,
// and has another instance take over at once.
func (l *Leader) HandOver(ctx context.Context) {
	l.mu.Lock()
	l.stopping = true
	t, known := l.term, l.known
	l.mu.Unlock()
	if t == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	t.end()
	t.owner.Flush(callCtx)
	l.mu.Lock()
	if l.term == t {
		l.term = nil
	}
	l.mu.Unlock()
	for _, next := range l.successors(callCtx, known) {
		reply, err := l.clients.To(next.Address).TakeOver(callCtx, &cellpb.TakeOverRequest{From: l.directory.Self().Name, Term: known.Term})
		if err == nil && reply.Taken {
			l.log.WithFields(logrus.Fields{"term": known.Term, "to": next.Name}).Info("ownership_handed_over")
			return
		}
		l.log.WithField("to", next.Name).WithError(err).Info("hand_over_refused")
	}
	released := known
	released.Released = true
	if _, err := l.write(callCtx, released, known.version); err != nil {
		// The others find this instance silent, or that it owns nothing.
		l.log.WithError(err).Warn("ownership_not_released")
	}
}

// successors returns the instances that can take over, the strongest first, and
// the youngest among equals: when instances are restarted one after the other,
// the youngest is the one that will not be restarted again.
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

// TakeOver makes this instance the owner because the owner of a term is
// stopping, and reports whether it became one.
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
		// Somebody has taken over already, which is what the caller wants.
		return true
	}
	if known.Term != term || known.Holder != from {
		return false
	}
	return l.take(ctx, known, takeOver{"the owner is stopping", true})
}

// Ping answers another instance.
func (l *Leader) Ping(r *cellpb.PingRequest) *cellpb.PingReply {
	if r.From != l.directory.Self().Name {
		l.pinged.Store(true)
	}
	if r.Claim != nil {
		l.learn(claimFrom(r.Claim))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &cellpb.PingReply{Claim: l.known.message(), Term: l.known.Term, Owner: l.term != nil, StoreOk: l.store.Reachable(), HeardMillis: -1,
		Stopping: l.stopping, StoreLostMillis: l.store.LostFor(time.Now()).Milliseconds()}
	if !l.heardAt.IsZero() {
		reply.HeardMillis = time.Since(l.heardAt).Milliseconds()
	}
	if l.term != nil {
		if r.Term > l.term.number {
			l.log.WithFields(logrus.Fields{"from": r.From, "term": r.Term}).Info("later_term_heard")
			l.term.Overtaken("another instance knows a later term")
			reply.Owner = false
			return reply
		}
		l.term.confirm(time.Now())
	}
	return reply
}
