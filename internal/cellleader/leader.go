package cellleader

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/boottime"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/store"
)

// Leader takes part in the election of the owner of a cell, for one instance.
type Leader struct {
	partition string
	directory *cellpeer.Directory
	clients   *cellpeer.Clients
	store     *store.Monitored
	newOwner  NewOwner
	links     Links
	log       logrus.FieldLogger
	// suspensions returns the total duration for which the machine was suspended.
	suspensions func() time.Duration

	// refreshing is true while refreshAsync is running.
	refreshing atomic.Bool
	// pingReceived is true once another instance has pinged this one.
	pingReceived atomic.Bool

	mu sync.Mutex
	// known is the newest claim seen, and knownAt when it was first seen. Its term
	// never decreases.
	known   claim
	knownAt time.Time
	// ownerPingedAt is when this instance last checked the owner.
	ownerPingedAt time.Time
	// ownerSeenAt is when the owner last confirmed that it is the owner.
	ownerSeenAt time.Time
	// refusals is the number of consecutive pings of the owner that were refused.
	refusals int
	// ownerStoreLoss is what its last answer tells about the owner's access to the store.
	ownerStoreLoss storeLoss
	// responseTimes are those of the owner of the known claim.
	responseTimes responseTimes
	// lateAnswerPending is true while a ping waits for its answer beyond ownerPingTimeout.
	lateAnswerPending atomic.Bool
	// vacantSince is the time from which no live owner has been known, or zero while the owner
	// responds.
	vacantSince time.Time
	term        *term
	// claiming is the term for which this instance is writing a claim, or 0.
	claiming uint64
	stopping bool
	// ended is true, and finished closed, once Run has stopped. background tracks the announcements, reads
	// and questions in progress.
	ended      bool
	finished   chan struct{}
	background sync.WaitGroup
	// wake triggers the next step at once.
	wake chan struct{}
}

// New returns a leader that owns nothing. links may be nil.
func New(partition string, d *cellpeer.Directory, c *cellpeer.Clients, s *store.Monitored, n NewOwner, links Links, log logrus.FieldLogger) *Leader {
	if links == nil {
		links = noLinks{}
	}
	return &Leader{partition: partition, directory: d, clients: c, store: s, newOwner: n, links: links, log: log, suspensions: boottime.NewSuspensionMeter().Total,
		vacantSince: time.Now(), finished: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Run takes part in the election until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	l.refresh(ctx)
	l.mu.Lock()
	restarted := l.replacesOwner(l.known)
	l.mu.Unlock()
	if restarted {
		l.step(ctx)
	}
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.mu.Lock()
			t := l.term
			l.ended = true
			l.mu.Unlock()
			close(l.finished)
			if t != nil {
				t.end()
			}
			l.background.Wait()
			return
		case <-ticker.C:
		case <-l.wake:
		}
		l.step(ctx)
	}
}

// triggerStep triggers the next step without waiting for the ticker.
func (l *Leader) triggerStep() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// step is one round: the owner verifies its claim, any other instance monitors the owner.
func (l *Leader) step(ctx context.Context) {
	l.mu.Lock()
	t, stopping := l.term, l.stopping
	l.mu.Unlock()
	switch {
	case t != nil:
		l.askInstances(ctx, t, time.Now())
		l.verify(ctx, t)
	case stopping:
	case l.pingDue(time.Now()):
		l.follow(ctx)
	}
}

// verify reads the claim of this owner once per verifyInterval, and yields to a stronger
// instance.
func (l *Leader) verify(ctx context.Context, t *term) {
	if time.Since(t.verifiedAt) < verifyInterval {
		return
	}
	startedAt := time.Now()
	t.verifiedAt = startedAt
	l.background.Go(func() {
		c, err := l.readClaim(ctx)
		if err != nil {
			l.log.WithError(err).Debug("claim_not_read")
			return
		}
		l.updateClaim(c)
		if c.Term == t.number && c.Incarnation == l.directory.Self().Incarnation {
			t.confirmations.claimVerified(startedAt)
		}
	})
	l.yield(ctx, t)
}

// askInstances asks the other instances, in the background, whether they know of a later term. An
// owner that has not read its claim for some time depends on their answers. Each counts from when
// the owner asked, however long it takes. Links ask the same of their relays.
func (l *Leader) askInstances(ctx context.Context, t *term, now time.Time) {
	if now.Sub(t.askedAt) < askInterval || !t.confirmations.needAnswers(now) {
		return
	}
	t.askedAt = now
	linked := l.links.ConfirmedBy(t.number, now.Add(-askInterval))
	instances := slices.DeleteFunc(l.directory.Others(), func(i cellpeer.Instance) bool { return slices.Contains(linked, i.Name) })
	l.background.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, confirmationTTL)
		defer cancel()
		for answer := range l.pingAll(callCtx, instances, t.number) {
			t.instanceAnswered(answer, now)
		}
	})
}

// pingAll pings instances at the same time.
func (l *Leader) pingAll(ctx context.Context, instances []cellpeer.Instance, term uint64) <-chan cellpeer.PingResult {
	return l.clients.PingAll(ctx, instances, &cellpb.PingRequest{From: l.directory.Self().Name, Term: term})
}

func (l *Leader) readClaim(ctx context.Context) (claim, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := l.store.Get(callCtx, tableCells, l.partition, claimKey)
	if err != nil {
		return claim{}, err
	}
	return decodeClaim(row)
}

// refresh reads the claim, or asks other instances for it if the store cannot be read. An
// instance that knows neither the store nor the owner could not serve its callers at all.
func (l *Leader) refresh(ctx context.Context) {
	if l.store.Reachable() {
		c, err := l.readClaim(ctx)
		if err == nil {
			l.updateClaim(c)
			return
		}
		l.log.WithError(err).Info("claim_not_read")
	}
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	for answer := range l.pingAll(callCtx, l.directory.Sample(claimSampleSize), 0) {
		if answer.Reply.GetClaim() != nil {
			l.updateClaim(claimFrom(answer.Reply.Claim))
		}
	}
}

// refreshAsync calls refresh in the background, unless a call is in progress.
func (l *Leader) refreshAsync(ctx context.Context) {
	if !l.refreshing.CompareAndSwap(false, true) {
		return
	}
	l.background.Go(func() {
		defer l.refreshing.Store(false)
		l.refresh(ctx)
	})
}

// current returns the newest claim seen.
func (l *Leader) current() claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known
}

// updateClaim records a claim, unless a newer one is known. A claim of another owner or term ends
// this instance's own term.
func (l *Leader) updateClaim(c claim) {
	self := l.directory.Self()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.version < l.known.version {
		return
	}
	if c.version > l.known.version {
		l.log.WithFields(logrus.Fields{"owner": c.Holder, "term": c.Term, "released": c.Released}).Info("owner_known")
		l.ownerSeenAt = time.Time{}
		l.refusals = 0
		l.responseTimes = responseTimes{}
		l.ownerStoreLoss = storeLoss{}
		l.vacantSince = time.Now()
		l.knownAt = time.Now()
		l.links.ObserveTerm(c.Term)
	}
	l.known = c
	if l.term == nil {
		return
	}
	if c.Term != l.term.number || c.Incarnation != self.Incarnation {
		l.endTermLocked("another claim was found")
	}
}

// endTermLocked ends this instance's term. The caller holds l.mu.
func (l *Leader) endTermLocked(why string) {
	t := l.term
	l.term = nil
	t.cancel()
	l.vacantSince = time.Now()
	l.log.WithFields(logrus.Fields{"term": t.number, "why": why}).Warn("ownership_lost")
}
