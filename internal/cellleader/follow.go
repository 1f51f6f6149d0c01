package cellleader

import (
	"context"
	"slices"
	"time"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
)

// followDue reports whether it is this instance's turn to ask after the owner. Those
// that would succeed it last ask less often, and not at all while they hear it over a
// link, unless it refuses connections.
func (l *Leader) followDue(now time.Time) bool {
	l.mu.Lock()
	known, since, refusals := l.known, now.Sub(l.followedAt), l.refusals
	l.mu.Unlock()
	if refusals > 0 || l.place(known.Term).eager() {
		return true
	}
	return since >= crowdPeriod && !l.heardOverLink(known, now)
}

// heardOverLink takes in that the owner was heard over a link lately, and reports
// whether it was.
func (l *Leader) heardOverLink(known claim, now time.Time) bool {
	at := l.links.HeardOwner(known.Term)
	if now.Sub(at) >= linkHeardFor {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known.version == known.version && at.After(l.heardAt) {
		l.heardAt = at
		l.vacantFrom = time.Time{}
	}
	return true
}

// follow watches the owner and takes over when it is gone.
func (l *Leader) follow(ctx context.Context) {
	l.mu.Lock()
	known := l.known
	l.followedAt = time.Now()
	l.mu.Unlock()
	if l.returns(known) {
		l.take(ctx, known, takeOver{reason: "the owner's process was replaced", earlierStopped: true})
		return
	}
	if l.ownerless(known) {
		l.contest(ctx, known, takeOver{reason: "the cell has no owner", earlierStopped: true})
		return
	}
	reply, err := l.pingOwner(ctx, known)
	now := time.Now()
	switch {
	case err != nil:
		l.ownerSilent(ctx, known, err, now)
	case reply.Term > known.Term:
		l.refresh(ctx)
	case !reply.Owner:
		if l.refresh(ctx); l.current().version > known.version {
			return
		}
		if !disowns(reply, known.Term, l.vacantFor(now)) {
			return
		}
		l.contest(ctx, known, takeOver{reason: "the named owner does not own the cell", earlierStopped: true})
	default:
		l.heard(ctx, known, reply, now)
	}
}

// returns reports whether this process replaces the one that owned the cell. It
// then takes the cell back at once: the others would wait for one another, and the
// holder was the strongest of them. It does so once; a process that ends again and
// again would otherwise keep the cell from all others.
func (l *Leader) returns(c claim) bool {
	self := l.directory.Self()
	return c.version > 0 && !c.Released && !c.Returned && c.Holder == self.Name && c.Incarnation != self.Incarnation
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
	l.refusals = 0
	l.mu.Unlock()
	lost := time.Duration(reply.StoreLostMillis) * time.Millisecond
	limit := max(storelessLimit, l.store.CallTimeout(), l.silenceFrom(now).patience()) + l.delay(known.Term)
	if lost > limit && l.store.ReachableFor(now) > storeBackWithin {
		l.take(ctx, known, takeOver{reason: "the owner does not reach the store", silent: true})
	}
}

func (l *Leader) ownerSilent(ctx context.Context, known claim, err error, now time.Time) {
	l.clients.Distrust(known.Address)
	if cellpeer.Refused(err) {
		// In a slow store a read takes long; take reads the claim
		// before anything is decided by it.
		l.refreshBeside(ctx)
	} else {
		l.refresh(ctx)
	}
	if l.current().version > known.version {
		return
	}
	silence := l.noteSilence(err, now)
	silent, heard := silence.limits()
	if now.Sub(silence.from) < silent+l.delay(known.Term) {
		return
	}
	if !l.survey(ctx, known, heard).allows(l.store.ReachableFor(time.Now())) {
		return
	}
	l.take(ctx, known, takeOver{reason: "the owner is silent", silent: true})
}

// noteSilence takes in that a ping failed. After a refusal the next one follows soon.
func (l *Leader) noteSilence(err error, now time.Time) silence {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cellpeer.Refused(err) {
		l.refusals++
		time.AfterFunc(refusedPause, l.stepSoon)
	} else {
		l.refusals = 0
	}
	return l.silenceLocked(now)
}

// silenceFrom returns what is known of the owner's silence.
func (l *Leader) silenceFrom(now time.Time) silence {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silenceLocked(now)
}

func (l *Leader) silenceLocked(now time.Time) silence {
	from := l.heardAt
	if from.IsZero() {
		if l.vacantFrom.IsZero() {
			l.vacantFrom = now
		}
		from = l.vacantFrom
	}
	return silence{from: from, refusals: l.refusals, slowest: l.answers.lately(now),
		hurried: l.known.Hurried, brief: now.Sub(l.knownAt) < briefOwnership}
}

// disowns reports whether the answer of a claim's holder says that it does not own the
// cell. In a slow store others read a claim before its holder has the answer to its write;
// until then it knows the term before and owns nothing yet, which is no reason to overtake
// it. After the time that it may be silent it is taken for one that never will.
func disowns(reply *cellpb.PingReply, term uint64, vacant time.Duration) bool {
	return reply.Term >= term || vacant >= vacantLimit
}

// vacantFor returns for how long nobody is known to own the cell.
func (l *Leader) vacantFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.vacantFrom.IsZero() {
		l.vacantFrom = now
	}
	return now.Sub(l.vacantFrom)
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

// survey asks the other instances whether they heard the owner lately.
func (l *Leader) survey(ctx context.Context, known claim, lately time.Duration) survey {
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	others := slices.DeleteFunc(l.directory.Others(), func(i cellpeer.Instance) bool { return i.Name == known.Holder })
	result := survey{asked: len(others)}
	for answer := range l.pingAll(callCtx, others, known.Term) {
		if answer.Refused {
			result.reached++
		}
		if answer.Reply == nil {
			continue
		}
		result.reached++
		heard := answer.Reply.HeardMillis
		if answer.Reply.Term == known.Term && heard >= 0 && heard < lately.Milliseconds() {
			result.heard = true
			break
		}
	}
	return result
}

// pong is the outcome of a ping.
type pong struct {
	reply *cellpb.PingReply
	err   error
}

// pingOwner pings the holder of a claim and returns its answer if that comes within
// followTimeout. A later one is taken in beside, if none is waited for already.
func (l *Leader) pingOwner(ctx context.Context, known claim) (*cellpb.PingReply, error) {
	limit := followTimeout
	waits := l.awaiting.CompareAndSwap(false, true)
	if waits {
		limit = lateTimeout
	}
	sent := time.Now()
	answer := make(chan pong, 1)
	go func() {
		reply, err := l.ping(ctx, known, limit)
		if waits {
			l.awaiting.Store(false)
		}
		if err == nil {
			l.noteAnswer(known, reply, sent, time.Now())
		}
		answer <- pong{reply, err}
	}()
	timer := time.NewTimer(followTimeout)
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

// noteAnswer takes in an answer of the holder of a claim, however late: it lived when it
// was sent for.
func (l *Leader) noteAnswer(c claim, reply *cellpb.PingReply, sent, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.version != l.known.version || !reply.Owner || reply.Term != c.Term {
		return
	}
	l.answers.note(now.Sub(sent), now)
	if sent.After(l.heardAt) {
		l.heardAt = sent
	}
}
