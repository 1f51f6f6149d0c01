package callerconn

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/sirupsen/logrus"
)

// rejection is the response to a connection that gets no place. It is sent before a request was read, so
// no request has been executed.
const rejection = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: %d\r\nContent-Length: 0\r\n\r\n"

// maxRejectionDelay is the longest retry delay after a rejection, in seconds. It is drawn, so that callers
// that were rejected together do not come back together.
const maxRejectionDelay = 2

// logPeriod is the shortest time between two log lines about rejected connections.
const logPeriod = time.Second

// listener accepts connections within the limits.
type listener struct {
	net.Listener
	guard    *Guard
	rejected uint64
	loggedAt time.Time
}

// WrapListener returns a listener that applies the limits to the connections of l.
func (g *Guard) WrapListener(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

// Accept implements net.Listener. Connections beyond the limit are closed at once: in the queue of the
// kernel their bytes would count as the memory of the process.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.open(raw); c != nil {
			return c, nil
		}
	}
}

// open returns a connection that has a slot, or nil if the limit is reached.
func (l *listener) open(raw net.Conn) net.Conn {
	c := &conn{Conn: raw, guard: l.guard}
	slot, evicted := l.guard.ledger.Open(c, time.Now())
	l.guard.interrupt(evicted)
	if slot == nil && len(evicted) > 0 {
		// Those of the evicted connections that were idle are closed now.
		slot, evicted = l.guard.ledger.Open(c, time.Now())
		l.guard.interrupt(evicted)
	}
	if slot == nil {
		l.reject(raw)
		return nil
	}
	c.slot = slot
	return c
}

// reject closes a connection that has no slot.
func (l *listener) reject(raw net.Conn) {
	_, _ = fmt.Fprintf(raw, rejection, 1+rand.IntN(maxRejectionDelay)) // the caller may be gone
	_ = raw.Close()
	l.guard.metrics.rejected(limitConnections)
	l.rejected++
	if now := time.Now(); now.Sub(l.loggedAt) >= logPeriod {
		l.guard.log.WithFields(logrus.Fields{"connections": l.rejected}).Warn("connections_rejected")
		l.rejected, l.loggedAt = 0, now
	}
}
