package instance

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"gentianstand/internal/config"
	"gentianstand/internal/entry"
	"gentianstand/internal/idempotency"
	"gentianstand/internal/membership"
	"gentianstand/internal/owner"
	"gentianstand/internal/ownership"
	"gentianstand/internal/peer"
	"gentianstand/internal/planner"
	"gentianstand/internal/platform"
	"gentianstand/internal/spec"
)

// components are the parts of an instance that are started and stopped.
type components struct {
	fx.In

	Settings  Settings
	Keeper    *ownership.Keeper
	Directory *directory
	Follower  *configFollower
	Hub       *peer.Hub
	Owner     *owner.Owner
	Planner   *planner.Planner
	Register  *idempotency.Registry
	Entry     *entry.Server
	Servers   *servers
	Current   *config.Current
	Lazy      *lazyShards
	Session   *membership.Session
	Timing    membership.Timing
	Log       *logrus.Entry
}

func (p components) start(ctx context.Context) {
	p.Current.Watch(func(rec config.Record, _ *spec.Text) { p.Keeper.SetConfigVersion(rec.Number) })
	go p.Directory.run(ctx, func(list []platform.Instance) {
		p.Owner.SetDirectory(list)
		p.Hub.SetDirectory(list)
	})
	go p.Follower.run(ctx)
	go p.Hub.Run(ctx)
	go p.Owner.Run(ctx)
	go p.Register.Run(ctx)
	go p.Keeper.Run(ctx)
}

// stopPollInterval is how often a graceful stop checks whether a step is done, and
// readinessGrace how long the load balancer gets to observe the failing readiness probe.
const (
	stopPollInterval = 50 * time.Millisecond
	readinessGrace   = 500 * time.Millisecond
)

// stop hands over all shards, then refuses new requests and waits for the requests in progress.
func (p components) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.Settings.StopTimeout)
	defer cancel()
	p.Log.Info("stopping")
	p.Lazy.stopping.Store(true)
	p.Keeper.SetStopping()
	sleep(ctx, readinessGrace)
	p.waitUntil(ctx, func() bool { return len(p.Lazy.get()) == 0 || p.noSuccessor() || p.cannotHandOver() })
	p.Entry.Stop()
	p.waitUntil(ctx, func() bool { return p.Entry.InFlight() == 0 })
	p.Planner.SetShard(nil)
	p.Log.Info("stopped")
}

// cannotHandOver reports whether the table is unreachable. Waiting for a handover would then only
// consume the time for requests in progress.
func (p components) cannotHandOver() bool {
	return p.Session.SinceTableAnswer(time.Now()) > p.Timing.SessionTTL
}

// noSuccessor reports whether no other instance can take over the shards.
func (p components) noSuccessor() bool {
	view := p.Keeper.View()
	for _, r := range p.Hub.Remotes() {
		row, ok := view.Instances[r.Process.Instance]
		if ok && row.Process == r.Process && !row.Stopping && !r.Stopping {
			return false
		}
	}
	return true
}

func (p components) waitUntil(ctx context.Context, done func() bool) {
	for ctx.Err() == nil && !done() {
		sleep(ctx, stopPollInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
