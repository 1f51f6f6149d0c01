package access

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"gentianstand/internal/boottime"
	"gentianstand/internal/catalog"
	"gentianstand/internal/fault"
)

const (
	// confirmTimeout bounds how long a call waits for a confirmation. The store or another
	// instance answers within this time if either is healthy.
	confirmTimeout = 600 * time.Millisecond
	// unconfirmedRetryAfter is the retry delay for callers of an instance that cannot decide
	// whether their key is valid. Another instance may serve them immediately.
	unconfirmedRetryAfter = time.Second
)

// Gate decides which calls are served.
type Gate struct {
	policy    Policy
	current   *catalog.Current
	confirmer Confirmer
	// confirming lets concurrent calls share one confirmation.
	confirming singleflight.Group
	metrics    *Metrics
	log        logrus.FieldLogger
	// now is the clock; tests replace it.
	now func() boottime.Instant
}

// NewGate returns a Gate that decides calls by the configuration in current.
func NewGate(p Policy, current *catalog.Current, c Confirmer, m *Metrics, log logrus.FieldLogger) *Gate {
	return &Gate{policy: p, current: current, confirmer: c, metrics: m, log: log, now: boottime.Now}
}

// Now returns the current instant, for Call.ArrivedAt.
func (g *Gate) Now() boottime.Instant { return g.now() }

// Admit returns how a call is served, or an error of kind UnknownPath, UnknownKey or
// PlatformUnavailable. In both cases no work has been done for the call.
func (g *Gate) Admit(ctx context.Context, call Call) (Grant, error) {
	grant, verdict := g.policy.decide(g.current.View(), call, g.now())
	if verdict == outdated {
		g.confirm(ctx)
		grant, verdict = g.policy.decide(g.current.View(), call, g.now())
	}
	return grant, g.errorFor(verdict)
}

// confirm waits for a confirmation that starts now or is already in progress.
func (g *Gate) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	done := g.confirming.DoChan("", func() (any, error) {
		// Other calls may wait for this confirmation after the caller has disconnected.
		shared, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		err := g.confirmer.Confirm(shared)
		if err != nil {
			g.log.WithError(err).Info("catalog_not_confirmed")
		}
		return nil, err
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (g *Gate) errorFor(v verdict) error {
	switch v {
	case allowed:
		return nil
	case noCatalog:
		return fault.New(fault.PlatformUnavailable, "no configuration is known yet")
	case noQueue:
		return fault.New(fault.UnknownPath, "no queue has this host and path")
	case unknownKey:
		g.metrics.UnknownKeys.Inc()
		return fault.New(fault.UnknownKey, "the API key is missing, or no workspace has it")
	}
	g.metrics.Unconfirmed.Inc()
	return fault.New(fault.PlatformUnavailable, "whether the API key is valid cannot be told: the configuration was last confirmed %s ago",
		g.current.View().Age(g.now()).Round(time.Millisecond)).WithRetryAfter(unconfirmedRetryAfter)
}
