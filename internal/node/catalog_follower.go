package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/access"
)

const (
	// feedWait is how long a question for news may wait. A connection that went
	// silent is noticed after this and half a second more, which leaves time within the
	// three seconds in which instances whose connections were reset have to catch up.
	// Shorter waits are more calls to the store, by every instance.
	feedWait = 2 * time.Second
	// waitsPerViewAge is how many such questions fit into the time for which a view serves: one
	// under way, one before it, and one that is lost.
	waitsPerViewAge = 3
	// retryInterval is the pause after a failure, and catalogProbe the wait of the
	// questions until the next answer: callers are refused while the store is
	// lost, so its return has to be noticed soon.
	retryInterval = 200 * time.Millisecond
	probeWait     = time.Millisecond
	// peerPeriod is how often another instance is asked while the store is lost.
	peerPeriod = time.Second
)

// catalogFollower keeps the catalog in force up to date.
type catalogFollower struct {
	reader *catalogReader
	// peers is asked while the store is lost, or nil.
	peers   access.Confirmer
	wait    time.Duration
	log     logrus.FieldLogger
	failing bool
	askedAt time.Time
}

// newCatalogFollower returns a follower that confirms the view often enough for a policy.
func newCatalogFollower(r *catalogReader, peers access.Confirmer, p access.Policy, log logrus.FieldLogger) *catalogFollower {
	f := &catalogFollower{reader: r, wait: feedWait, log: log}
	if p.KeysNeeded {
		f.peers = peers
	}
	if fresh := p.MaxViewAge(); fresh > 0 {
		f.wait = min(f.wait, fresh/waitsPerViewAge)
	}
	return f
}

// run follows until ctx ends.
func (f *catalogFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.logTransition(err)
			f.confirmWithPeer(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(retryInterval):
			}
			continue
		}
		f.logTransition(nil)
	}
}

func (f *catalogFollower) step(ctx context.Context) error {
	if f.failing {
		return f.reader.read(ctx, probeWait)
	}
	return f.reader.read(ctx, f.wait)
}

// confirmWithPeer has the view confirmed by an instance that the store serves.
func (f *catalogFollower) confirmWithPeer(ctx context.Context) {
	if f.peers == nil || time.Since(f.askedAt) < peerPeriod {
		return
	}
	f.askedAt = time.Now()
	if err := f.peers.Confirm(ctx); err != nil {
		f.log.WithError(err).Debug("catalog_not_confirmed_by_peer")
	}
}

// logTransition logs when the store is lost and when it is back, not each failure.
func (f *catalogFollower) logTransition(err error) {
	switch {
	case err != nil && !f.failing:
		f.log.WithError(err).Warn("store_lost")
	case err == nil && f.failing:
		f.log.Info("store_back")
	}
	f.failing = err != nil
}
