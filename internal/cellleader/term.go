package cellleader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/cellowner"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/store"
)

// term is one ownership of this instance. It implements cellowner.Leadership.
type term struct {
	leader *Leader
	number uint64
	owner  *cellowner.Owner
	cancel context.CancelFunc
	done   chan struct{}
	loaded atomic.Bool
	began  time.Time
	// previousEnd is when no previous owner can act any more, as far as known. previousMu guards it.
	previousMu  sync.Mutex
	previousEnd time.Time
	// onlyPredecessor is the previous holder, if it may still act and no other one may.
	onlyPredecessor string
	confirmations   *confirmations
	// informed holds the instances that know of this term.
	informed informed
	// verifiedAt is when the claim was last read, and askedAt when the instances were last asked.
	verifiedAt, askedAt time.Time
	supersededOnce      sync.Once
}

// newTerm creates and starts the owner for a claim that a request sent at sentAt has confirmed.
func (l *Leader) newTerm(c claim, why takeOver, sentAt time.Time) *term {
	ctx, cancel := context.WithCancel(context.Background())
	t := &term{leader: l, number: c.Term, cancel: cancel, done: make(chan struct{}), began: time.Now(), verifiedAt: sentAt,
		confirmations: newConfirmations(sentAt), onlyPredecessor: why.onlyPredecessor}
	t.confirmations.measureSuspensions(l.suspensions)
	previous := previousOwner(why, t.outvotesPrevious())
	t.previousEnd = t.began.Add(previous.Limit)
	t.owner = l.newOwner(c.Term, previous, store.Check{Table: tableCells, Key: claimKey, Version: c.version}, t)
	go t.run(ctx)
	return t
}

func (t *term) run(ctx context.Context) {
	defer close(t.done)
	err := t.owner.Run(ctx, func() { t.loaded.Store(true) })
	if err != nil && ctx.Err() == nil {
		t.Superseded("the cell could not be loaded: " + err.Error())
	}
}

// end stops the owner and waits until it has stopped.
func (t *term) end() {
	t.cancel()
	<-t.done
}

// flush stores what is not stored yet, as far as the store answers in time. Workers report ends
// that were not stored to the successor.
func (t *term) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	t.owner.Flush(ctx)
}

// pingReceived handles a ping of another instance that knows no later term.
func (t *term) pingReceived(r *cellpb.PingRequest, now time.Time) {
	if r.Term != t.number {
		return
	}
	t.instanceInformed(r.From, now)
	t.termKnownBy(r.From, now)
}

// instanceAnswered handles the answer of an instance that was asked for a later term.
func (t *term) instanceAnswered(answer cellpeer.PingResult, askedAt time.Time) {
	switch known := answer.Reply.GetTerm(); {
	case known > t.number:
		t.Superseded("another instance knows a later term")
	case known == t.number:
		t.confirmations.answered(answer.Instance.Name, askedAt)
	}
}

// instanceInformed records that an instance knows this term, so that it confirms no earlier owner any
// more. Its earlier confirmations expire.
func (t *term) instanceInformed(instance string, now time.Time) {
	t.informed.add(instance)
	if t.outvotesPrevious() && t.previousStopsBy(now.Add(confirmationTTL)) {
		t.leader.log.WithFields(logrus.Fields{"term": t.number, "after_ms": now.Sub(t.began).Milliseconds()}).Info("earlier_owner_outvoted")
		t.owner.PreviousOwnerStopsBy(now.Add(confirmationTTL))
	}
}

// outvotesPrevious reports whether no earlier owner is confirmed by most instances any more.
func (t *term) outvotesPrevious() bool {
	return t.leader.directory.Loaded() && t.informed.outvote(t.leader.directory.Others())
}

// previousStopsBy records by when no previous owner can act any more, and reports whether that is
// earlier than was known.
func (t *term) previousStopsBy(end time.Time) bool {
	t.previousMu.Lock()
	defer t.previousMu.Unlock()
	if !end.Before(t.previousEnd) {
		return false
	}
	t.previousEnd = end
	return true
}

// previousActsUntil returns when no previous owner can act any more, as far as known.
func (t *term) previousActsUntil() time.Time {
	t.previousMu.Lock()
	defer t.previousMu.Unlock()
	return t.previousEnd
}

// termKnownBy records that an instance knows this term and no later one. If it is the previous
// holder, it owns nothing any more: its process was replaced, or it knows that it was superseded.
func (t *term) termKnownBy(instance string, now time.Time) {
	if t.onlyPredecessor == "" || instance != t.onlyPredecessor {
		return
	}
	t.onlyPredecessor = ""
	t.leader.log.WithFields(logrus.Fields{"term": t.number, "holder": instance}).Info("earlier_owner_stopped")
	t.previousStopsBy(now)
	t.owner.PreviousOwnerStopped(now)
}

// Confirmed implements cellowner.Leadership. An owner that is cut off from all other instances
// and from the store must stop extending leases, because another instance may have taken over.
func (t *term) Confirmed() bool {
	others := func() int { return len(t.leader.directory.Others()) }
	linked := func(since time.Time) []string { return t.leader.links.ConfirmedBy(t.number, since) }
	return t.confirmations.valid(others, linked, time.Now()) || t.leader.alone()
}

// alone reports whether no other instance is known. Then no instance can confirm the ownership,
// and none can have taken over. The directory may lack instances that started after it was last
// read, but those ping the owner.
func (l *Leader) alone() bool {
	return !l.pingReceived.Load() && l.directory.Loaded() && len(l.directory.Others()) == 0
}

// Superseded implements cellowner.Leadership.
func (t *term) Superseded(why string) {
	t.supersededOnce.Do(func() {
		go t.leader.superseded(t, why)
	})
}

// superseded ends a term, unless it has ended already, and reads the current claim.
func (l *Leader) superseded(t *term, why string) {
	l.mu.Lock()
	if l.term == t {
		l.endTermLocked(why)
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	l.refresh(ctx)
}
