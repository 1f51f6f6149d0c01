package callerconn

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/callerlimit"
)

// Guard limits what a server holds for its callers.
type Guard struct {
	ledger  *callerlimit.Ledger
	metrics *guardMetrics
	log     logrus.FieldLogger
}

// NewGuard returns a guard with the given limits. Its metrics are registered in a set.
func NewGuard(l callerlimit.Limits, set *metrics.Set, log logrus.FieldLogger) *Guard {
	ledger := callerlimit.NewLedger(l)
	return &Guard{ledger: ledger, metrics: newGuardMetrics(set, ledger), log: log}
}

// Install makes a server use the limits. The server must accept its connections from a listener that
// WrapListener has returned.
func (g *Guard) Install(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	observe := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if observe != nil {
			observe(c, state)
		}
		if own, ok := c.(*conn); ok && state == http.StateIdle {
			own.slot.Wait(time.Now())
		}
	}
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// connOf returns the connection of a request, or nil if its server has no guard.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// interrupt ends evicted connections.
func (g *Guard) interrupt(evicted []callerlimit.Connection) {
	for _, c := range evicted {
		g.metrics.evicted.Inc()
		c.Interrupt()
	}
}
