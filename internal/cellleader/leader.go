package cellleader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/store"
)

// Leader takes part in the choice of a cell's owner, for one instance.
type Leader struct {
	partition string
	directory *cellpeer.Directory
	clients   *cellpeer.Clients
	store     *store.Monitored
	newOwner  NewOwner
	links     Links
	log       logrus.FieldLogger

	// refreshing says that refreshBeside is at work.
	refreshing atomic.Bool
	// pinged says that another instance has pinged this one.
	pinged atomic.Bool

	mu sync.Mutex
	// known is the newest claim seen, since knownAt; its term never falls.
	known   claim
	knownAt time.Time
	// followedAt is when this instance last asked after the owner.
	followedAt time.Time
	// heardAt is when the owner last confirmed that it is one.
	heardAt time.Time
	// refusals is how many pings of the owner in a row were refused.
	refusals int
	// answers are those of the owner of the known claim.
	answers answers
	// awaiting says that the answer to a ping is waited for beyond followTimeout.
	awaiting atomic.Bool
	// vacantFrom is since when nobody is known to own the cell.
	vacantFrom time.Time
	term       *term
	stopping   bool
	// ended says that Run is over; announcing are the announcements under way.
	ended      bool
	announcing sync.WaitGroup
	// wake has the next step taken at once.
	wake chan struct{}
}

// New returns a leader that owns nothing. links may be nil.
func New(partition string, d *cellpeer.Directory, c *cellpeer.Clients, s *store.Monitored, n NewOwner, links Links, log logrus.FieldLogger) *Leader {
	if links == nil {
		links = noLinks{}
	}
	return &Leader{partition: partition, directory: d, clients: c, store: s, newOwner: n, links: links, log: log,
		vacantFrom: time.Now(), wake: make(chan struct{}, 1)}
}

// Run takes part until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	l.refresh(ctx)
	l.mu.Lock()
	returns := l.returns(l.known)
	l.mu.Unlock()
	if returns {
		l.step(ctx)
	}
	ticker := time.NewTicker(pingPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.mu.Lock()
			t := l.term
			l.ended = true
			l.mu.Unlock()
			if t != nil {
				t.end()
			}
			l.announcing.Wait()
			return
		case <-ticker.C:
		case <-l.wake:
		}
		l.step(ctx)
	}
}

// stepSoon has the next step taken without waiting for its turn.
func (l *Leader) stepSoon() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// step is one round: an owner verifies its claim, another instance follows.
func (l *Leader) step(ctx context.Context) {
	l.mu.Lock()
	t, stopping := l.term, l.stopping
	l.mu.Unlock()
	switch {
	case t != nil && !t.Confirmed():
		l.askAround(ctx, t)
	case t != nil:
		l.verify(ctx, t)
	case stopping:
	case l.followDue(time.Now()):
		l.follow(ctx)
	}
}

// verify reads the owner's own row once in a while, and looks for a stronger owner.
func (l *Leader) verify(ctx context.Context, t *term) {
	if time.Since(t.verifiedAt) < verifyPeriod {
		return
	}
	asked := time.Now()
	t.verifiedAt = asked
	go func() {
		c, err := l.readClaim(ctx)
		if err != nil {
			l.log.WithError(err).Debug("claim_not_read")
			return
		}
		l.learn(c)
		if c.Term == t.number && c.Incarnation == l.directory.Self().Incarnation {
			t.confirmations.claimHeld(asked)
		}
	}()
	l.yield(ctx, t)
}

// askAround asks the others for a later term. An owner that lacks the store and
// that nobody pings any more has probably been overtaken: its successor is pinged
// instead, and the store cannot tell.
func (l *Leader) askAround(ctx context.Context, t *term) {
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	for answer := range l.pingAll(callCtx, l.directory.Others(), t.number) {
		if answer.Reply.GetTerm() > t.number {
			t.Superseded("another instance knows a later term")
			return
		}
	}
}

// pingAll pings instances at the same time.
func (l *Leader) pingAll(ctx context.Context, instances []cellpeer.Instance, term uint64) <-chan cellpeer.PingAnswer {
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

// refresh reads the claim, or asks the others for it where the store cannot be
// read: without the store this instance could not answer its callers at all if it
// did not know the owner.
func (l *Leader) refresh(ctx context.Context) {
	if l.store.Reachable() {
		c, err := l.readClaim(ctx)
		if err == nil {
			l.learn(c)
			return
		}
		l.log.WithError(err).Info("claim_not_read")
	}
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	for answer := range l.pingAll(callCtx, l.directory.Sample(claimSample), 0) {
		if answer.Reply.GetClaim() != nil {
			l.learn(claimFrom(answer.Reply.Claim))
		}
	}
}

// refreshBeside refreshes without waiting for it, unless that is under way.
func (l *Leader) refreshBeside(ctx context.Context) {
	if !l.refreshing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.refreshing.Store(false)
		l.refresh(ctx)
	}()
}

// current returns the newest claim seen.
func (l *Leader) current() claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known
}

// learn takes in a claim. A newer one ends this instance's own term.
func (l *Leader) learn(c claim) {
	self := l.directory.Self()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.version < l.known.version {
		return
	}
	if c.version > l.known.version {
		l.log.WithFields(logrus.Fields{"owner": c.Holder, "term": c.Term, "released": c.Released}).Info("owner_known")
		l.heardAt = time.Time{}
		l.refusals = 0
		l.answers = answers{}
		l.vacantFrom = time.Now()
		l.knownAt = time.Now()
		l.links.Learned(c.Term)
	}
	l.known = c
	if l.term == nil {
		return
	}
	if c.Term != l.term.number || c.Incarnation != self.Incarnation {
		l.drop("another claim was found")
	}
}

// drop ends this instance's term; l.mu is held.
func (l *Leader) drop(why string) {
	t := l.term
	l.term = nil
	t.cancel()
	l.vacantFrom = time.Now()
	l.log.WithFields(logrus.Fields{"term": t.number, "why": why}).Warn("ownership_lost")
}
