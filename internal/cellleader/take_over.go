package cellleader

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/store"
)

// takeOver describes why an instance takes over a cell.
type takeOver struct {
	reason string
	// previousStopped is true if the previous owner sends no more orders: its process ended, or
	// it reported that it does not own the cell.
	previousStopped bool
	// predecessorStopped is true if the previous owner sends no more orders, while the ones before it
	// may.
	predecessorStopped bool
	// handedOver is true if the previous owner gave up the cell at a time when no owner before it
	// could act any more.
	handedOver bool
	// unresponsive is true if the previous owner is alive as far as known, but did not respond or
	// could not reach the store.
	unresponsive bool
	// onlyPredecessor is the only previous holder that may still act, if there is just one.
	onlyPredecessor string
}

// withClaim adds what follows from the previous claim, which has been known for the given time:
// whether any owner up to that one may still act and, if just one may, which. If the last owner
// has stopped, the one before it may still act.
func (t takeOver) withClaim(c claim, known time.Duration) takeOver {
	// An owner that was alive when the claim was made was superseded by it, and may act until it is
	// no longer confirmed.
	mayAct := c.PredecessorMayAct && !t.handedOver && known < predecessorLimit
	t.predecessorStopped = t.previousStopped
	t.previousStopped = t.previousStopped && !mayAct
	if !t.previousStopped && !mayAct {
		t.onlyPredecessor = c.Holder
	}
	return t
}

// shortOwnerships returns the number of short ownerships for the claim of this takeover. current
// is the previous claim, which has been known for the given time.
func (t takeOver) shortOwnerships(current claim, known time.Duration) uint32 {
	switch {
	case known >= shortOwnershipLimit || t.handedOver:
		return 0
	case t.unresponsive:
		return current.ShortOwnerships + 1
	}
	return current.ShortOwnerships
}

// knownFor returns how long this instance has known the newest claim.
func (l *Leader) knownFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.knownAt)
}

// tryTakeOver tries to become the owner and reports whether it did.
func (l *Leader) tryTakeOver(ctx context.Context, seen claim, why takeOver) bool {
	current, err := l.readClaim(ctx)
	if err != nil {
		l.log.WithField("why", why.reason).WithError(err).Debug("take_over_without_store")
		return false
	}
	if current.version != seen.version {
		l.updateClaim(current)
		return false
	}
	why = why.withClaim(current, l.knownFor())
	self := l.directory.Self()
	next := claim{Holder: self.Name, Address: self.Address, Incarnation: self.Incarnation, Term: current.Term + 1,
		Returned: current.Holder == self.Name, PredecessorMayAct: !why.previousStopped, ShortOwnerships: why.shortOwnerships(current, l.knownFor())}
	l.setClaiming(next.Term)
	defer l.setClaiming(0)
	sentAt := time.Now()
	version, err := l.write(ctx, next, current.version)
	if err != nil {
		// The write may have taken effect; the row then names this process.
		l.log.WithField("why", why.reason).WithError(err).Info("take_over_failed")
		return l.resolveUnknownWrite(ctx, next, why)
	}
	next.version = version
	l.startTerm(next, why, sentAt)
	return true
}

// setClaiming sets the term for which a claim is being written, or 0.
func (l *Leader) setClaiming(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claiming = term
}

func (l *Leader) write(ctx context.Context, c claim, expectedVersion uint64) (uint64, error) {
	value, err := cbor.Marshal(c)
	if err != nil {
		return 0, err
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return l.store.Commit(callCtx, store.Tx{
		Partition: l.partition,
		Checks:    []store.Check{{Table: tableCells, Key: claimKey, Version: expectedVersion}},
		Puts:      []store.Put{{Table: tableCells, Key: claimKey, Value: value}},
	})
}

// resolveUnknownWrite reads the claim to find out whether a write without an answer took effect.
func (l *Leader) resolveUnknownWrite(ctx context.Context, next claim, why takeOver) bool {
	sentAt := time.Now()
	c, err := l.readClaim(ctx)
	if err != nil {
		return false
	}
	if c.Term == next.Term && c.Incarnation == next.Incarnation {
		l.startTerm(c, why, sentAt)
		return true
	}
	l.updateClaim(c)
	return false
}

// startTerm starts this instance's term, unless a later claim is known. sentAt is when the request
// was sent that confirmed the claim: another instance may have taken over since.
func (l *Leader) startTerm(c claim, why takeOver, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != nil || l.stopping || l.ended || l.known.version > c.version {
		return
	}
	l.known, l.knownAt = c, time.Now()
	l.links.ObserveTerm(c.Term)
	l.vacantSince = time.Time{}
	l.log.WithFields(logrus.Fields{"term": c.Term, "why": why.reason}).Info("ownership_taken")
	l.term = l.newTerm(c, why, sentAt)
	t := l.term
	l.background.Go(func() { l.announce(t, c) })
}
