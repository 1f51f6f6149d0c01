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

// parts is everything of an instance that runs.
type parts struct {
	fx.In

	Settings  Settings
	Keeper    *ownership.Keeper
	Directory *directory
	Follower  *configFollower
	Hub       *peer.Hub
	Owner     *owner.Owner
	Planner   *planner.Planner
	Registry  *idempotency.Registry
	Entry     *entry.Server
	Servers   *servers
	Current   *config.Current
	Lazy      *lazyShards
	Session   *membership.Session
	Timing    membership.Timing
	Log       *logrus.Entry
}

func (p parts) start(ctx context.Context) {
	p.Current.Watch(func(rec config.Record, _ *spec.Text) { p.Keeper.SetConfigVersion(rec.Number) })
	go p.Directory.run(ctx, func(list []platform.Instance) {
		p.Owner.SetDirectory(list)
		p.Hub.SetDirectory(list)
	})
	go p.Follower.run(ctx)
	go p.Hub.Run(ctx)
	go p.Owner.Run(ctx)
	go p.Registry.Run(ctx)
	go p.Keeper.Run(ctx)
}

// stopPoll is how often a graceful stop looks whether it is done, and
// balancerGrace how long the balancer gets to notice the readiness probe.
const (
	stopPoll      = 50 * time.Millisecond
	balancerGrace = 500 * time.Millisecond
)

// stop hands over all shards, refuses new requests once that is done, and
// waits for requests in progress.
func (p parts) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.Settings.StopTimeout)
	defer cancel()
	p.Log.Info("stopping")
	p.Lazy.stopping.Store(true)
	p.Keeper.SetStopping()
	wait(ctx, balancerGrace)
	p.until(ctx, func() bool { return len(p.Lazy.get()) == 0 || p.alone() || p.cannotHandOver() })
	p.Entry.Stop()
	p.until(ctx, func() bool { return p.Entry.InFlight() == 0 })
	p.Planner.SetShard(nil)
	p.Log.Info("stopped")
}

// cannotHandOver reports whether the table is out of reach, so that waiting to
// hand over would only use up the time for requests in progress.
func (p parts) cannotHandOver() bool {
	return p.Session.SinceTableAnswer(time.Now()) > p.Timing.SessionTTL
}

// alone reports whether nobody is there to hand over to.
func (p parts) alone() bool {
	view := p.Keeper.View()
	for _, r := range p.Hub.Remotes() {
		row, ok := view.Instances[r.Process.Instance]
		if ok && row.Process == r.Process && !row.Stopping && !r.Stopping {
			return false
		}
	}
	return true
}

func (p parts) until(ctx context.Context, done func() bool) {
	for ctx.Err() == nil && !done() {
		wait(ctx, stopPoll)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
