package cellleader

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/store"
)

// takeOver is why an instance takes a cell over.
type takeOver struct {
	reason string
	// earlierStopped says that the earlier owner gives no orders any more: its
	// process ended, or it said that it does not own the cell.
	earlierStopped bool
	// handedOver says that it gave the cell up when no owner before it could act any
	// more either.
	handedOver bool
	// silent says that the earlier owner lives as far as anyone knows, and was silent.
	silent bool
	// beside is the only earlier holder that may still act, if there is just one.
	beside string
}

// after returns a take-over with what follows from the claim before it, which has been
// known for some time: whether no owner up to that one can act any more, and if not, which
// one can. That the last one has ended says nothing of the one before it, which may still
// act.
func (t takeOver) after(c claim, known time.Duration) takeOver {
	// Whoever was alive when the claim was made was overtaken by it, and may act as
	// long as a confirmation lasts.
	doubtful := c.Doubtful && !t.handedOver && known < confirmedFor
	t.earlierStopped = t.earlierStopped && !doubtful
	if !t.earlierStopped && !doubtful {
		t.beside = c.Holder
	}
	return t
}

// hurried returns what the claim of a take-over says of the owners before it; current
// is the claim before, which has been known for some time.
func (t takeOver) hurried(current claim, known time.Duration) uint32 {
	switch {
	case known >= briefOwnership || t.handedOver:
		return 0
	case t.silent:
		return current.Hurried + 1
	}
	return current.Hurried
}

// knownFor returns for how long the newest claim has been known here.
func (l *Leader) knownFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.knownAt)
}

// take tries to become the owner and reports whether it did.
func (l *Leader) take(ctx context.Context, seen claim, why takeOver) bool {
	current, err := l.readClaim(ctx)
	if err != nil {
		l.log.WithField("why", why.reason).WithError(err).Debug("take_over_without_store")
		return false
	}
	if current.version != seen.version {
		l.learn(current)
		return false
	}
	why = why.after(current, l.knownFor())
	self := l.directory.Self()
	next := claim{Holder: self.Name, Address: self.Address, Incarnation: self.Incarnation, Term: current.Term + 1,
		Returned: current.Holder == self.Name, Doubtful: !why.earlierStopped, Hurried: why.hurried(current, l.knownFor())}
	version, err := l.write(ctx, next, current.version)
	if err != nil {
		// The write may have taken effect; the next round reads the row and finds
		// this process in it.
		l.log.WithField("why", why.reason).WithError(err).Info("take_over_failed")
		return l.claimedAfterAll(ctx, next, why)
	}
	next.version = version
	l.begin(next, why)
	return true
}

func (l *Leader) write(ctx context.Context, c claim, over uint64) (uint64, error) {
	value, err := cbor.Marshal(c)
	if err != nil {
		return 0, err
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return l.store.Commit(callCtx, store.Tx{
		Partition: l.partition,
		Checks:    []store.Check{{Table: tableCells, Key: claimKey, Version: over}},
		Puts:      []store.Put{{Table: tableCells, Key: claimKey, Value: value}},
	})
}

// claimedAfterAll looks whether a write without an answer took effect.
func (l *Leader) claimedAfterAll(ctx context.Context, next claim, why takeOver) bool {
	c, err := l.readClaim(ctx)
	if err != nil {
		return false
	}
	if c.Term == next.Term && c.Incarnation == next.Incarnation {
		l.begin(c, why)
		return true
	}
	l.learn(c)
	return false
}

// begin starts this instance's term.
func (l *Leader) begin(c claim, why takeOver) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != nil || l.stopping || l.ended {
		return
	}
	l.known, l.knownAt = c, time.Now()
	l.links.Learned(c.Term)
	l.vacantFrom = time.Time{}
	l.log.WithFields(logrus.Fields{"term": c.Term, "why": why.reason}).Info("ownership_taken")
	l.term = l.newTerm(c, why.earlierStopped, why.beside)
	l.announcing.Go(func() { l.announce(c) })
}

// announce tells the others of this instance's claim. News of jobs goes to the
// owner that an instance knows; until it reads the claim by itself, half a second
// later, what it accepts is found by the owner's next read of the store only.
func (l *Leader) announce(c claim) {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	ping := &cellpb.PingRequest{From: l.directory.Self().Name, Term: c.Term, Claim: c.message()}
	heard := 0
	for answer := range l.clients.PingAll(ctx, l.directory.Others(), ping) {
		if answer.Reply != nil {
			heard++
		}
	}
	l.log.WithFields(logrus.Fields{"term": c.Term, "heard": heard}).Info("ownership_announced")
}
