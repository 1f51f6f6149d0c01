package cellleader

import (
	"context"
	"slices"
	"time"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
)

// pingDue reports whether this instance has to ping the owner now. Instances late in the order
// of succession ping it less often, and not at all while they receive its frames over a link,
// unless it refuses connections.
func (l *Leader) pingDue(now time.Time) bool {
	l.mu.Lock()
	known, since, refusals := l.known, now.Sub(l.ownerPingedAt), l.refusals
	l.mu.Unlock()
	if refusals > 0 || l.rank(known.Term).pingsOften() {
		return true
	}
	return since >= slowPingInterval && !l.seenOverLink(known, now)
}

// seenOverLink reports whether the owner was seen over a link recently, and records when.
func (l *Leader) seenOverLink(known claim, now time.Time) bool {
	at := l.links.OwnerLastSeen(known.Term)
	if now.Sub(at) >= linkFreshFor {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known.version == known.version && at.After(l.ownerSeenAt) {
		l.ownerSeenAt = at
		l.vacantSince = time.Time{}
	}
	return true
}

// follow monitors the owner and takes over if it is gone.
func (l *Leader) follow(ctx context.Context) {
	l.mu.Lock()
	known := l.known
	l.ownerPingedAt = time.Now()
	l.mu.Unlock()
	if l.replacesOwner(known) {
		l.tryTakeOver(ctx, known, takeOver{reason: "the owner's process was replaced", previousStopped: true})
		return
	}
	if l.ownerless(known) {
		l.takeVacant(ctx, known, takeOver{reason: "the cell has no owner", previousStopped: true})
		return
	}
	reply, err := l.pingOwner(ctx, known)
	now := time.Now()
	switch {
	case err != nil:
		l.ownerUnresponsive(ctx, known, err, now)
	case reply.Term > known.Term:
		l.refresh(ctx)
	case !reply.Owner:
		if l.refresh(ctx); l.current().version > known.version {
			return
		}
		if !disclaimsOwnership(reply, known.Term, l.vacantFor(now)) {
			return
		}
		l.takeVacant(ctx, known, disclaimedTakeOver(reply, known.Term))
	default:
		l.ownerResponded(ctx, known, reply, now)
	}
}

// replacesOwner reports whether this process replaces the one that owned the cell. It then takes
// the cell back at once: the other instances would wait for each other, and the holder was the
// strongest of them. It does so only once; otherwise a process that crashes repeatedly would keep
// the cell from all others.
func (l *Leader) replacesOwner(c claim) bool {
	self := l.directory.Self()
	return c.version > 0 && !c.Released && !c.Returned && c.Holder == self.Name && c.Incarnation != self.Incarnation
}

// ownerless reports whether a claim names no living owner: there is no claim, it was released, or
// an earlier process of this instance made it.
func (l *Leader) ownerless(c claim) bool {
	self := l.directory.Self()
	return c.version == 0 || c.Released || (c.Holder == self.Name && c.Incarnation != self.Incarnation)
}

// ownerResponded handles the answer of the owner.
func (l *Leader) ownerResponded(ctx context.Context, known claim, reply *cellpb.PingReply, now time.Time) {
	l.mu.Lock()
	l.ownerSeenAt = now
	l.vacantSince = time.Time{}
	l.refusals = 0
	l.mu.Unlock()
	l.takeOverWithoutStore(ctx, known, storeLoss{duration: storeLossOf(reply), askedAt: now}, now)
}

// takeOverWithoutStore takes over from an owner that has not reached the store for too long. The
// store must have served this instance for some time when the owner was asked; otherwise the loss
// may be that of an outage for all. It reports whether it tried.
func (l *Leader) takeOverWithoutStore(ctx context.Context, known claim, loss storeLoss, now time.Time) bool {
	limit := max(storeLossTimeout, l.store.CallTimeout(), l.currentSuspicion(now).timeout()) + l.takeOverDelay(known.Term)
	if loss.duration <= limit || l.store.ReachableFor(now)-now.Sub(loss.askedAt) <= storeRecoverySkew {
		return false
	}
	l.tryTakeOver(ctx, known, takeOver{reason: "the owner does not reach the store", unresponsive: true})
	return true
}

// ownerUnresponsive handles a failed ping of the owner, and takes over if the owner has been
// unresponsive for too long.
func (l *Leader) ownerUnresponsive(ctx context.Context, known claim, err error, now time.Time) {
	l.clients.CloseIdle(known.Address)
	if cellpeer.ConnectionRefused(err) {
		// A read takes long in a slow store. tryTakeOver reads the claim before it acts on it.
		l.refreshAsync(ctx)
	} else {
		l.refresh(ctx)
	}
	if l.current().version > known.version {
		return
	}
	suspicion := l.recordPingFailure(err, now)
	if l.takeOverWithoutStore(ctx, known, suspicion.storeLoss, now) {
		return
	}
	ownerTimeout, seenWithin := suspicion.limits()
	if now.Sub(suspicion.since) < ownerTimeout+l.takeOverDelay(known.Term) {
		return
	}
	if !l.surveyInstances(ctx, known, seenWithin).allowsTakeOver(l.store.ReachableFor(time.Now())) {
		return
	}
	l.tryTakeOver(ctx, known, takeOver{reason: "the owner is silent", unresponsive: true})
}

// recordPingFailure records a failed ping. After a refused connection the next ping follows soon.
func (l *Leader) recordPingFailure(err error, now time.Time) suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cellpeer.ConnectionRefused(err) {
		l.refusals++
		time.AfterFunc(refusedPause, l.triggerStep)
	} else {
		l.refusals = 0
	}
	return l.suspicionLocked(now)
}

// currentSuspicion returns what is known about an unresponsive owner.
func (l *Leader) currentSuspicion(now time.Time) suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspicionLocked(now)
}

// suspicionLocked is currentSuspicion for callers that hold l.mu.
func (l *Leader) suspicionLocked(now time.Time) suspicion {
	from := l.ownerSeenAt
	if from.IsZero() {
		if l.vacantSince.IsZero() {
			l.vacantSince = now
		}
		from = l.vacantSince
	}
	return suspicion{since: from, refusals: l.refusals, slowestResponse: l.responseTimes.slowestRecent(now),
		shortOwnerships: l.known.ShortOwnerships, newOwner: now.Sub(l.knownAt) < shortOwnershipLimit, storeLoss: l.ownerStoreLoss.ifRecent(now)}
}

// disclaimsOwnership reports whether the answer of a claim's holder means that it does not own
// the cell. In a slow store others can read a claim before its holder receives the answer to its
// write. Until then the holder knows only the previous term and owns nothing yet, which is no
// reason to replace it. After vacancyTimeout it is replaced, but may still begin its term.
func disclaimsOwnership(reply *cellpb.PingReply, term uint64, vacant time.Duration) bool {
	return reply.Term >= term || vacant >= vacancyTimeout
}

// disclaimedTakeOver returns the takeover of a cell from a holder that disclaims it. A holder that
// does not know of its term has not ended it.
func disclaimedTakeOver(reply *cellpb.PingReply, term uint64) takeOver {
	return takeOver{reason: "the named owner does not own the cell", previousStopped: reply.Term >= term}
}

// vacantFor returns how long no owner of the cell has been known.
func (l *Leader) vacantFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.vacantSince.IsZero() {
		l.vacantSince = now
	}
	return now.Sub(l.vacantSince)
}

// takeVacant takes over a cell without an owner after this instance's delay.
func (l *Leader) takeVacant(ctx context.Context, known claim, why takeOver) {
	l.mu.Lock()
	if l.vacantSince.IsZero() {
		l.vacantSince = time.Now()
	}
	from := l.vacantSince
	l.mu.Unlock()
	if time.Since(from) >= l.takeOverDelay(known.Term) {
		l.tryTakeOver(ctx, known, why)
	}
}

// surveyInstances asks the other instances whether they have seen the owner recently.
func (l *Leader) surveyInstances(ctx context.Context, known claim, within time.Duration) survey {
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
		seenAgo := answer.Reply.HeardMillis
		if answer.Reply.Term == known.Term && seenAgo >= 0 && seenAgo < within.Milliseconds() {
			result.ownerSeen = true
			break
		}
	}
	return result
}
