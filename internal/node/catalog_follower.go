package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/access"
)

const (
	// feedWait is how long a read of the feed waits for a change. A dead connection is
	// detected 0.5 seconds after that. This leaves enough of the 3 seconds in which
	// instances whose connections were reset have to catch up. Shorter waits would mean
	// more calls to the store from every instance.
	feedWait = 2 * time.Second
	// waitsPerViewAge is how many reads of the feed fit into the maximum age of a view: one
	// in progress, one before it, and one that is lost.
	waitsPerViewAge = 3
	// retryInterval is the pause after a failed read, and probeWait the wait of the reads
	// until one succeeds. Both are short, because callers are refused while the store is
	// unreachable and its recovery has to be detected soon.
	retryInterval = 200 * time.Millisecond
	probeWait     = time.Millisecond
	// peerPeriod is how often another instance is asked while the store is unreachable.
	peerPeriod = time.Second
)

// catalogFollower keeps the catalog in force up to date.
type catalogFollower struct {
	reader *catalogReader
	// peers confirms the view while the store is unreachable; nil if no API keys are needed.
	peers       access.Confirmer
	wait        time.Duration
	log         logrus.FieldLogger
	failing     bool
	peerAskedAt time.Time
}

// newCatalogFollower returns a follower that confirms the view often enough for the access
// policy.
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

// run follows the feed until ctx ends.
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

// confirmWithPeer confirms the view with an instance that can reach the store, at most once per
// peerPeriod.
func (f *catalogFollower) confirmWithPeer(ctx context.Context) {
	if f.peers == nil || time.Since(f.peerAskedAt) < peerPeriod {
		return
	}
	f.peerAskedAt = time.Now()
	if err := f.peers.Confirm(ctx); err != nil {
		f.log.WithError(err).Debug("catalog_not_confirmed_by_peer")
	}
}

// logTransition logs the start and the end of an outage of the store, but not each failed read.
func (f *catalogFollower) logTransition(err error) {
	switch {
	case err != nil && !f.failing:
		f.log.WithError(err).Warn("store_lost")
	case err == nil && f.failing:
		f.log.Info("store_back")
	}
	f.failing = err != nil
}
