package cellleader

import (
	"context"
	"hash/fnv"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/cellowner"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/store"
)

// NewOwner makes an owner for a term. earlierStopped says that the earlier owner
// gives no orders any more. The row of the claim is checked by all writes.
type NewOwner func(term uint64, earlierStopped bool, claim store.Check, l cellowner.Leadership) *cellowner.Owner

// Leader takes part in the choice of a cell's owner, for one instance.
type Leader struct {
	partition string
	directory *cellpeer.Directory
	clients   *cellpeer.Clients
	store     *store.Watched
	newOwner  NewOwner
	log       logrus.FieldLogger

	mu sync.Mutex
	// known is the newest claim seen; its term never falls.
	known claim
	// heardAt is when the owner last confirmed that it is one.
	heardAt time.Time
	// storelessFrom is since when the owner says that it lacks the store.
	storelessFrom time.Time
	// vacantFrom is since when nobody is known to own the cell.
	vacantFrom time.Time
	term       *term
	stopping   bool
	wake       chan struct{}
}

// New returns a leader that owns nothing.
func New(partition string, d *cellpeer.Directory, c *cellpeer.Clients, s *store.Watched, n NewOwner, log logrus.FieldLogger) *Leader {
	return &Leader{partition: partition, directory: d, clients: c, store: s, newOwner: n, log: log,
		vacantFrom: time.Now(), wake: make(chan struct{}, 1)}
}

// Run takes part until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	l.refresh(ctx)
	ticker := time.NewTicker(pingPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.mu.Lock()
			t := l.term
			l.mu.Unlock()
			if t != nil {
				t.end()
			}
			return
		case <-ticker.C:
		case <-l.wake:
		}
		l.step(ctx)
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
	default:
		l.follow(ctx)
	}
}

// verify reads the owner's own row once in a while.
func (l *Leader) verify(ctx context.Context, t *term) {
	if time.Since(t.verifiedAt) < verifyPeriod {
		return
	}
	t.verifiedAt = time.Now()
	go func() {
		if c, err := l.readClaim(ctx); err == nil {
			l.learn(c)
		}
	}()
}

// askAround asks the others for a later term. An owner that lacks the store and
// that nobody pings any more has probably been overtaken: its successor is pinged
// instead, and the store cannot tell.
func (l *Leader) askAround(ctx context.Context, t *term) {
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	others := l.directory.Others()
	terms := make(chan uint64, len(others))
	for _, other := range others {
		go func() {
			reply, err := l.ping(callCtx, other.Address, t.number)
			if err != nil {
				terms <- 0
				return
			}
			terms <- reply.Term
		}()
	}
	for range others {
		if term := <-terms; term > t.number {
			t.Overtaken("another instance knows a later term")
			return
		}
	}
}

// follow watches the owner and takes over when it is gone.
func (l *Leader) follow(ctx context.Context) {
	l.mu.Lock()
	known := l.known
	l.mu.Unlock()
	if l.ownerless(known) {
		l.contest(ctx, known, takeOver{"the cell has no owner", true})
		return
	}
	reply, err := l.ping(ctx, known.Address, known.Term)
	now := time.Now()
	switch {
	case err != nil:
		l.ownerSilent(ctx, known, now)
	case reply.Term > known.Term:
		l.refresh(ctx)
	case !reply.Owner:
		l.setVacant(now)
		l.contest(ctx, known, takeOver{"the named owner does not own the cell", true})
	default:
		l.heard(ctx, known, reply, now)
	}
}

// ownerless reports whether a claim names no living owner: there is none, it
// was released, or an earlier process of this instance made it.
func (l *Leader) ownerless(c claim) bool {
	self := l.directory.Self()
	return c.version == 0 || c.Released || (c.Holder == self.Name && c.Incarnation != self.Incarnation)
}

func (l *Leader) heard(ctx context.Context, known claim, reply *cellpb.PingReply, now time.Time) {
	l.mu.Lock()
	l.heardAt = now
	l.vacantFrom = time.Time{}
	if reply.StoreOk {
		l.storelessFrom = time.Time{}
	} else if l.storelessFrom.IsZero() {
		l.storelessFrom = now
	}
	from := l.storelessFrom
	l.mu.Unlock()
	if limit := storelessLimit + l.delay(known.Term); !from.IsZero() && now.Sub(from) > limit && l.store.GoodFor(now) > limit {
		l.take(ctx, known, takeOver{"the owner does not reach the store", false})
	}
}

func (l *Leader) ownerSilent(ctx context.Context, known claim, now time.Time) {
	l.clients.Distrust(known.Address)
	l.mu.Lock()
	silentFrom := l.heardAt
	if silentFrom.IsZero() {
		if l.vacantFrom.IsZero() {
			l.vacantFrom = now
		}
		silentFrom = l.vacantFrom
	}
	l.mu.Unlock()
	if now.Sub(silentFrom) < silentLimit+l.delay(known.Term) {
		return
	}
	if l.othersHear(ctx, known) {
		return
	}
	l.take(ctx, known, takeOver{"the owner is silent", false})
}

func (l *Leader) setVacant(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.vacantFrom.IsZero() {
		l.vacantFrom = now
	}
}

// contest takes an ownerless cell over after this instance's delay.
func (l *Leader) contest(ctx context.Context, known claim, why takeOver) {
	l.mu.Lock()
	if l.vacantFrom.IsZero() {
		l.vacantFrom = time.Now()
	}
	from := l.vacantFrom
	l.mu.Unlock()
	if time.Since(from) >= l.delay(known.Term) {
		l.take(ctx, known, why)
	}
}

// delay is this instance's place in the order of a term's candidates: the
// strongest first, because the owner of a large cell works more than all other
// instances together, and among equals by lot.
func (l *Leader) delay(term uint64) time.Duration {
	self := l.directory.Self()
	all := append(l.directory.Others(), self)
	sort.Slice(all, func(a, b int) bool {
		if all[a].Cores != all[b].Cores {
			return all[a].Cores > all[b].Cores
		}
		return lot(all[a].Name, term) < lot(all[b].Name, term)
	})
	for i, instance := range all {
		if instance.Name == self.Name {
			return time.Duration(i) * stagger
		}
	}
	return 0
}

func lot(name string, term uint64) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(strconv.FormatUint(term, 10) + name)) // a hash never fails
	return h.Sum32()
}

// othersHear reports whether another instance heard the owner lately: then this
// one is cut off from it, and a take-over would only disturb.
func (l *Leader) othersHear(ctx context.Context, known claim) bool {
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	others := l.directory.Others()
	answers := make(chan bool, len(others))
	for _, other := range others {
		if other.Name == known.Holder {
			answers <- false
			continue
		}
		go func() {
			reply, err := l.ping(callCtx, other.Address, known.Term)
			answers <- err == nil && reply.Term == known.Term && reply.HeardMillis >= 0 &&
				reply.HeardMillis < heardLately.Milliseconds()
		}()
	}
	for range others {
		if <-answers {
			return true
		}
	}
	return false
}

func (l *Leader) ping(ctx context.Context, address string, term uint64) (*cellpb.PingReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return l.clients.To(address).Ping(callCtx, &cellpb.PingRequest{From: l.directory.Self().Name, Term: term})
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

// refresh reads the claim.
func (l *Leader) refresh(ctx context.Context) {
	c, err := l.readClaim(ctx)
	if err != nil {
		l.log.WithError(err).Info("claim_not_read")
		return
	}
	l.learn(c)
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
		l.storelessFrom = time.Time{}
		l.vacantFrom = time.Now()
	}
	l.known = c
	if l.term == nil {
		return
	}
	if c.Term != l.term.number || c.Incarnation != self.Incarnation {
		l.drop("another claim was found")
		return
	}
	l.term.confirm(time.Now())
}

// drop ends this instance's term; l.mu is held.
func (l *Leader) drop(why string) {
	t := l.term
	l.term = nil
	t.cancel()
	l.vacantFrom = time.Now()
	l.log.WithFields(logrus.Fields{"term": t.number, "why": why}).Warn("ownership_lost")
}

// take tries to become the owner and reports whether it did.
func (l *Leader) take(ctx context.Context, known claim, why takeOver) bool {
	current, err := l.readClaim(ctx)
	if err != nil {
		l.log.WithField("why", why.reason).WithError(err).Debug("take_over_without_store")
		return false
	}
	if current.version != known.version {
		l.learn(current)
		return false
	}
	self := l.directory.Self()
	next := claim{Holder: self.Name, Address: self.Address, Incarnation: self.Incarnation, Term: current.Term + 1}
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
	if l.term != nil || l.stopping {
		return
	}
	l.known = c
	l.vacantFrom = time.Time{}
	l.log.WithFields(logrus.Fields{"term": c.Term, "why": why.reason}).Info("ownership_taken")
	l.term = l.newTerm(c, why.earlierStopped)
}
