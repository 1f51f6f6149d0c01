package cellleader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/cellpeer/cellpb"
)

// pingResult is the outcome of a ping.
type pingResult struct {
	reply *cellpb.PingReply
	err   error
}

// pingOwner pings the holder of a claim and returns its answer if that arrives within
// ownerPingTimeout. A later answer is still recorded, unless another ping already waits for a
// late answer.
func (l *Leader) pingOwner(ctx context.Context, known claim) (*cellpb.PingReply, error) {
	limit := ownerPingTimeout
	acceptsLate := l.lateAnswerPending.CompareAndSwap(false, true)
	if acceptsLate {
		limit = lateAnswerTimeout
	}
	sent := time.Now()
	answer := make(chan pingResult, 1)
	go func() {
		reply, err := l.ping(ctx, known, limit)
		if acceptsLate {
			l.lateAnswerPending.Store(false)
		}
		if err == nil {
			l.recordAnswer(known, reply, sent, time.Now())
		}
		answer <- pingResult{reply, err}
	}()
	timer := time.NewTimer(ownerPingTimeout)
	defer timer.Stop()
	select {
	case got := <-answer:
		return got.reply, got.err
	case <-timer.C:
		return nil, context.DeadlineExceeded
	}
}

func (l *Leader) ping(ctx context.Context, known claim, limit time.Duration) (*cellpb.PingReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return l.clients.To(known.Address).Ping(callCtx, &cellpb.PingRequest{From: l.directory.Self().Name, Term: known.Term})
}

// recordAnswer records an answer of the holder of a claim, however late: the holder was alive
// after the ping was sent.
func (l *Leader) recordAnswer(c claim, reply *cellpb.PingReply, sent, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.version != l.known.version || !reply.Owner || reply.Term != c.Term {
		return
	}
	l.responseTimes.record(now.Sub(sent), now)
	if sent.After(l.ownerSeenAt) {
		l.ownerSeenAt = sent
		l.ownerStoreLoss = storeLoss{duration: storeLossOf(reply), askedAt: sent}
	}
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
