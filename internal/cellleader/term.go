package cellleader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/cellowner"
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
	// earlierStopped says that no owner before this one can act any more.
	earlierStopped bool
	// beside is the holder before this one, if it may act and no other one can.
	beside        string
	confirmations *confirmations
	verifiedAt    time.Time
	lost          sync.Once
}

// newTerm makes and starts an owner for a claim.
func (l *Leader) newTerm(c claim, earlierStopped bool, beside string) *term {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	t := &term{leader: l, number: c.Term, cancel: cancel, done: make(chan struct{}), began: now, verifiedAt: now,
		confirmations: newConfirmations(now), earlierStopped: earlierStopped, beside: beside}
	t.owner = l.newOwner(c.Term, earlierStopped, store.Check{Table: tableCells, Key: claimKey, Version: c.version}, t)
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

// flush stores what is not stored, as far as the store answers soon. The workers tell the
// successor of ends that are not.
func (t *term) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	t.owner.Flush(ctx)
}

// heardOf takes in a ping of another instance that knows no later term. If it knows this
// one and is the holder before, it owns nothing any more: either its process was
// replaced, or it has learned that it was overtaken.
func (t *term) heardOf(r *cellpb.PingRequest, now time.Time) {
	if r.Term != t.number {
		return
	}
	t.confirmations.heardFrom(r.From, now)
	if t.beside != "" && r.From == t.beside {
		t.beside = ""
		t.leader.log.WithFields(logrus.Fields{"term": t.number, "holder": r.From}).Info("earlier_owner_stopped")
		t.owner.PreviousOwnerStopped(now)
	}
}

// Confirmed implements cellowner.Leadership. An owner that is cut off from all
// other instances and from the store must stop extending leases, because
// another one may have taken over.
func (t *term) Confirmed() bool {
	others := func() int { return len(t.leader.directory.Others()) }
	linked := func(since time.Time) []string { return t.leader.links.Confirming(t.number, since) }
	return t.confirmations.hold(others, linked, time.Now()) || t.leader.alone()
}

// alone reports whether no other instance has shown itself: then nobody can
// confirm an ownership, and nobody can have overtaken it. The directory may lack
// instances that started after it was last read; those ping the owner.
func (l *Leader) alone() bool {
	return !l.pinged.Load() && l.directory.Loaded() && len(l.directory.Others()) == 0
}

// Superseded implements cellowner.Leadership.
func (t *term) Superseded(why string) {
	t.lost.Do(func() {
		go t.leader.overtaken(t, why)
	})
}

func (l *Leader) overtaken(t *term, why string) {
	l.mu.Lock()
	if l.term == t {
		l.drop(why)
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	l.refresh(ctx)
}
