package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/cellpeer"
)

// Link is an owner's connection to one relay. Its methods are safe for concurrent use.
type Link struct {
	peer cellpeer.Instance
	log  logrus.FieldLogger
	wake chan struct{}
	done chan struct{}

	mu   sync.Mutex
	conn net.Conn
	// queue are the calls to write, pending those that wait for a reply.
	queue   []*call
	pending map[uint32]*call
	number  uint32
	// opened says that the relay has taken the link, leaving that it is about to stop.
	opened, leaving, ended bool
	// slow says that it had not opened after openSoon.
	slow bool
	// openedAt is when it was opened; blameless says that its end says nothing against
	// the relay.
	openedAt  time.Time
	noBackoff bool
	// confirmedTerm is the highest term whose request the relay has not refused, and
	// confirmedAt when the latest such request was made.
	confirmedTerm uint64
	confirmedAt   time.Time
	// lastFrameAt is when the last frame came, lastUsedAt when the last call was made.
	lastFrameAt, lastUsedAt time.Time
}

// dialFunc opens a connection to a relay.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// openLink returns a link that opens beside the caller; ended is called when it is over.
func openLink(peer cellpeer.Instance, d dialFunc, ended func(*Link), log logrus.FieldLogger) *Link {
	l := &Link{peer: peer, log: log.WithField("relay", peer.Name), wake: make(chan struct{}, 1), done: make(chan struct{}),
		pending: map[uint32]*call{}, lastUsedAt: time.Now()}
	go l.run(d, ended)
	return l
}

func (l *Link) run(d dialFunc, ended func(*Link)) {
	defer ended(l)
	soon := time.AfterFunc(openWait, l.divertQueue)
	defer soon.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	conn, err := d(ctx, l.peer.Address)
	cancel()
	if err != nil {
		l.end("not opened", err)
		return
	}
	if !l.markOpen(conn) {
		_ = conn.Close() // the link has ended meanwhile
		return
	}
	go l.write(conn)
	l.end("reading ended", l.read(conn))
}

// markOpen takes in that the relay has taken the link.
func (l *Link) markOpen(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	l.conn, l.opened, l.lastFrameAt, l.openedAt = conn, true, time.Now(), time.Now()
	return true
}

// divertQueue has the calls that wait for the link to open take another way.
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

// slowToOpen reports whether the link has not opened soon.
func (l *Link) slowToOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slow && !l.opened
}

// neverOpened reports whether the link is not, and was not, open.
func (l *Link) neverOpened() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.opened
}

// end ends the link, and with it all calls: those that were not written can be made
// another way.
func (l *Link) end(why string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	close(l.done)
	if l.conn != nil {
		_ = l.conn.Close() // it is given up either way
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

// endWithoutBackoff ends the link for a reason that says nothing against the relay.
func (l *Link) endWithoutBackoff(why string) {
	l.mu.Lock()
	l.noBackoff = true
	l.mu.Unlock()
	l.end(why, nil)
}

// causesBackoff reports whether the end of the link says something against the relay.
func (l *Link) causesBackoff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.noBackoff
}

// wasStable reports whether the link was open for long enough to forget losses before it.
func (l *Link) wasStable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened && time.Since(l.openedAt) > maxBackoff
}

// usable reports whether calls may be made.
func (l *Link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ended && !l.leaving
}

// confirmTerm takes in that the relay knew of no later term than a call's after the call was
// made; l.mu is held.
func (l *Link) confirmTerm(c *call) {
	switch token := c.token(); {
	case token > l.confirmedTerm:
		l.confirmedTerm, l.confirmedAt = token, c.queuedAt
	case token == l.confirmedTerm && c.queuedAt.After(l.confirmedAt):
		l.confirmedAt = c.queuedAt
	}
}

// confirmedSince reports whether the relay knew of no later term at some time since.
func (l *Link) confirmedSince(term uint64, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmedTerm == term && !l.confirmedAt.Before(since)
}

// unresponsive reports whether an open link has had no frame, not even a heartbeat, for long.
func (l *Link) unresponsive(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened && now.Sub(l.lastFrameAt) > unresponsiveAfter
}

// idle reports whether the link is no longer used.
func (l *Link) idle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)+len(l.queue) == 0 && now.Sub(l.lastUsedAt) > idleAfter
}
