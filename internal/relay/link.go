package relay

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/cellpeer"
)

// Link is an owner's connection to one relay. It is safe for concurrent use.
type Link struct {
	peer cellpeer.Instance
	log  logrus.FieldLogger
	wake chan struct{}
	done chan struct{}

	mu   sync.Mutex
	conn net.Conn
	// queue holds the calls that are not written yet, pending those that wait for a reply.
	queue   []*call
	pending map[uint32]*call
	number  uint32
	// opened reports that the relay has accepted the link, leaving that the relay is about
	// to stop.
	opened, leaving, ended bool
	// slow reports that the link was not open after openWait.
	slow bool
	// openedAt is when the link was opened. noBackoff reports that the relay is not avoided
	// after the link has ended.
	openedAt  time.Time
	noBackoff bool
	// refused reports that the relay's machine answered, but accepted no link.
	refused bool
	// confirmedTerm is the highest term of which the relay has accepted a request, and
	// confirmedAt is when the latest such request was made.
	confirmedTerm uint64
	confirmedAt   time.Time
	// lastFrameAt is when the last frame arrived or the first call was written, from when on the
	// relay sends heartbeats. lastUsedAt is when the last call was made.
	lastFrameAt, lastUsedAt time.Time
	// answered reports that the relay has replied to a call, and unanswered counts the calls since then
	// whose callers stopped waiting.
	answered   bool
	unanswered int
	// silenceLogged reports that the current silence has been logged.
	silenceLogged bool
}

// dialFunc opens a connection to a relay.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// linkEvents are called when a link has been opened, and when it has ended. opened may be nil.
type linkEvents struct {
	opened, ended func(*Link)
}

// openLink returns a link and opens it in the background.
func openLink(peer cellpeer.Instance, d dialFunc, events linkEvents, log logrus.FieldLogger) *Link {
	l := &Link{peer: peer, log: log.WithField("relay", peer.Name), wake: make(chan struct{}, 1), done: make(chan struct{}),
		pending: map[uint32]*call{}, lastUsedAt: time.Now()}
	go l.run(d, events)
	return l
}

// run opens the link and reads replies until the link ends.
func (l *Link) run(d dialFunc, events linkEvents) {
	defer events.ended(l)
	slow := time.AfterFunc(openWait, l.divertQueue)
	defer slow.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	conn, err := d(ctx, l.peer.Address)
	cancel()
	if err != nil {
		l.markRefused(err)
		l.end("not opened", err)
		return
	}
	if !l.markOpen(conn) {
		_ = conn.Close() // the link ended during the dial
		return
	}
	if events.opened != nil {
		events.opened(l)
	}
	go l.write(conn)
	l.end("reading ended", l.read(conn))
}

// markOpen records that the relay has accepted the link. It returns false if the link has
// already ended.
func (l *Link) markOpen(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	l.conn, l.opened, l.lastFrameAt, l.openedAt = conn, true, time.Now(), time.Now()
	return true
}

// divertQueue fails the calls that wait for the link to open, so that they take another
// path.
func (l *Link) divertQueue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opened {
		return
	}
	l.slow = true
	for _, c := range l.queue {
		c.result <- result{err: errNotSent}
	}
	l.queue = nil
}

// markRefused records whether an error in opening came from the relay's machine.
func (l *Link) markRefused(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = slices.ContainsFunc(refusals, func(refusal error) bool { return errors.Is(err, refusal) })
}

// wasRefused reports whether the relay's machine answered, but accepted no link.
func (l *Link) wasRefused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

// end closes the link and fails all its calls. Calls that were not written can be made on
// another path.
func (l *Link) end(why string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	close(l.done)
	if l.conn != nil {
		_ = l.conn.Close() // nothing more is sent on it
	}
	l.log.WithFields(logrus.Fields{"why": why, "pending": len(l.pending), "waiting": len(l.queue)}).WithError(err).Info("relay_link_ended")
	for _, c := range l.queue {
		c.result <- result{err: errNotSent}
	}
	for _, c := range l.pending {
		c.result <- result{err: errLinkLost}
	}
	l.queue, l.pending = nil, nil
}

// endWithoutBackoff ends the link for a reason for which its relay is not avoided.
func (l *Link) endWithoutBackoff(why string) {
	l.mu.Lock()
	l.noBackoff = true
	l.mu.Unlock()
	l.end(why, nil)
}

// causesBackoff reports whether the relay is avoided for a while after the link has ended.
func (l *Link) causesBackoff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.noBackoff
}

// wasStable reports whether the link was open long enough for earlier losses to be ignored.
func (l *Link) wasStable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened && time.Since(l.openedAt) > maxBackoff
}

// confirmTerm records that the relay accepted a call, and so knew of no later term at some
// time after the call was made. l.mu must be held.
func (l *Link) confirmTerm(c *call) {
	switch token := c.token(); {
	case token > l.confirmedTerm:
		l.confirmedTerm, l.confirmedAt = token, c.queuedAt
	case token == l.confirmedTerm && c.queuedAt.After(l.confirmedAt):
		l.confirmedAt = c.queuedAt
	}
}

// confirmedSince reports whether the relay has accepted a request of the term that was made
// at or after since.
func (l *Link) confirmedSince(term uint64, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmedTerm == term && !l.confirmedAt.Before(since)
}

// linkState is whether a link can carry calls.
type linkState int

const (
	// linkClosed means that the link has ended or its relay is about to stop.
	linkClosed linkState = iota
	// linkOpening means that the link is not open yet, and linkSlow that it was not after openWait.
	linkOpening
	linkSlow
	// linkReady means that the link is open and frames arrive.
	linkReady
	// linkSilent means that no frame, not even a heartbeat, has arrived for unresponsiveAfter, or that
	// maxUnanswered calls in a row got no reply.
	linkSilent
)

// state returns the state of the link.
func (l *Link) state(now time.Time) linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.ended || l.leaving:
		return linkClosed
	case !l.opened && l.slow:
		return linkSlow
	case !l.opened:
		return linkOpening
	case l.unanswered >= maxUnanswered || l.number > 0 && now.Sub(l.lastFrameAt) > unresponsiveAfter:
		return linkSilent
	}
	return linkReady
}

// silentFor reports whether no frame has arrived for d.
func (l *Link) silentFor(d time.Duration, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastFrameAt) > d
}

// hasAnswered reports whether the relay has replied to a call on this link.
func (l *Link) hasAnswered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered
}

// endSilence lets the next silence be logged.
func (l *Link) endSilence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silenceLogged = false
}

// logSilence logs that the link has become silent, as one of several.
func (l *Link) logSilence(silentLinks, links int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silenceLogged || l.ended {
		return
	}
	l.silenceLogged = true
	l.log.WithFields(logrus.Fields{"silent_links": silentLinks, "links": links, "unanswered": l.unanswered}).Warn("relay_link_silent")
}

// idle reports whether the link has not been used for idleAfter.
func (l *Link) idle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)+len(l.queue) == 0 && now.Sub(l.lastUsedAt) > idleAfter
}
