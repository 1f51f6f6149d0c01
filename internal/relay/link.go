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
	blameless bool
	// confirmedTerm is the highest term whose request the relay has not refused, and
	// confirmedAt when the latest such request was made.
	confirmedTerm uint64
	confirmedAt   time.Time
	// heardAt is when the last frame came, usedAt when the last call was made.
	heardAt, usedAt time.Time
}

// dial opens a connection to a relay.
type dial func(ctx context.Context, address string) (net.Conn, error)

// openLink returns a link that opens beside the caller; ended is called when it is over.
func openLink(peer cellpeer.Instance, d dial, ended func(*Link), log logrus.FieldLogger) *Link {
	l := &Link{peer: peer, log: log.WithField("relay", peer.Name), wake: make(chan struct{}, 1), done: make(chan struct{}),
		pending: map[uint32]*call{}, usedAt: time.Now()}
	go l.run(d, ended)
	return l
}

func (l *Link) run(d dial, ended func(*Link)) {
	defer ended(l)
	soon := time.AfterFunc(openSoon, l.sendAway)
	defer soon.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	conn, err := d(ctx, l.peer.Address)
	cancel()
	if err != nil {
		l.end("not opened", err)
		return
	}
	if !l.begin(conn) {
		_ = conn.Close() // the link has ended meanwhile
		return
	}
	go l.write(conn)
	l.end("reading ended", l.read(conn))
}

// begin takes in that the relay has taken the link.
func (l *Link) begin(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	l.conn, l.opened, l.heardAt, l.openedAt = conn, true, time.Now(), time.Now()
	return true
}

// sendAway has the calls that wait for the link to open take another way.
func (l *Link) sendAway() {
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

// opensSlowly reports whether the link has not opened soon.
func (l *Link) opensSlowly() bool {
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

// endBlameless ends the link for a reason that says nothing against the relay.
func (l *Link) endBlameless(why string) {
	l.mu.Lock()
	l.blameless = true
	l.mu.Unlock()
	l.end(why, nil)
}

// toBlame reports whether the end of the link says something against the relay.
func (l *Link) toBlame() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.blameless
}

// lasted reports whether the link was open for long enough to forget losses before it.
func (l *Link) lasted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened && time.Since(l.openedAt) > avoidMost
}

// usable reports whether calls may be made.
func (l *Link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ended && !l.leaving
}

// confirm takes in that the relay knew of no later term than a call's after the call was
// made; l.mu is held.
func (l *Link) confirm(c *call) {
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

// silent reports whether an open link has had no frame, not even a heartbeat, for long.
func (l *Link) silent(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened && now.Sub(l.heardAt) > silentAfter
}

// idle reports whether the link is no longer used.
func (l *Link) idle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)+len(l.queue) == 0 && now.Sub(l.usedAt) > idleAfter
}
