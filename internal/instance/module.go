// Package instance assembles an entry instance with fx: it builds all components, runs their
// loops and servers, and stops them gracefully.
package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"gentianstand/internal/audit"
	"gentianstand/internal/config"
	"gentianstand/internal/entry"
	"gentianstand/internal/idempotency"
	"gentianstand/internal/live"
	"gentianstand/internal/membership"
	"gentianstand/internal/owner"
	"gentianstand/internal/ownership"
	"gentianstand/internal/peer"
	"gentianstand/internal/planner"
	"gentianstand/internal/platform"
	"gentianstand/internal/platform/httpwire"
	"gentianstand/internal/routing"
	"gentianstand/internal/worker"
	workerwire "gentianstand/internal/worker/httpwire"
)

// incarnationLength is the length of the prefix of a random UUID that identifies an incarnation
// of an instance. It is enough for the few incarnations that an instance has per day.
const incarnationLength = 13

// agentTimeout bounds one call to a worker's agent.
const agentTimeout = time.Second

// Module returns the fx options that assemble and run an entry instance.
func Module(s Settings, log *logrus.Entry) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.StopTimeout(s.StopTimeout+5*time.Second),
		fx.Supply(s, log, membership.DefaultTiming()),
		fx.Provide(
			newIdentity, newPlatform, newMetrics, newSession, newLazyView,
			membership.NewElector, config.NewCurrent, config.NewStore, routing.NewRouter,
			newTrail, newDirectory, newConfigFollower, newHub, newPlannerClient, newOwner,
			newPlanner, newRegister, newListener, newKeeper, newEntry, peer.NewServer, newProcess, newServers, newLazyShards,
		),
		fx.Invoke(registerGauges, run),
	)
}

func newIdentity(s Settings) ownership.Identity {
	caller, peerAddress := s.advertised()
	return ownership.Identity{
		Process: live.Process{Instance: s.ID, Incarnation: uuid.NewString()[:incarnationLength]},
		Address: caller, PeerAddress: peerAddress, Region: s.Region, Zone: s.Zone,
	}
}

func newProcess(id ownership.Identity) live.Process { return id.Process }

func newPlatform(s Settings) (platform.Table, platform.Objects, platform.Directory) {
	client := httpwire.New(s.Platform, s.ID, s.PlatformTimeout)
	return client, client, client
}

func newMetrics() *metrics.Set { return metrics.NewSet() }

func newSession(timing membership.Timing) *membership.Session {
	return membership.NewSession(timing, time.Now())
}

func newTrail(table platform.Table, s Settings) *audit.Trail { return audit.NewTrail(table, s.ID) }

func newDirectory(source platform.Directory, log *logrus.Entry) *directory {
	return &directory{source: source, log: log}
}

// lazyView breaks the dependency cycle between the keeper and the components that read its view.
type lazyView struct{ keeper *ownership.Keeper }

func newLazyView() *lazyView { return &lazyView{} }

func (v *lazyView) get() live.View {
	if v.keeper == nil {
		return live.View{}
	}
	return v.keeper.View()
}

func newHub(id ownership.Identity, current *config.Current, follower *configFollower, router *routing.Router, session *membership.Session, l *lazyShards, set *metrics.Set, log *logrus.Entry) *peer.Hub {
	state := func() peer.State {
		return peer.State{
			ConfigNumber: current.Number(), Shards: l.get(), Slots: router.Slots(),
			Stopping: l.stopping.Load(), SilenceMillis: session.SinceTableAnswer(time.Now()).Milliseconds(),
		}
	}
	hub := peer.NewHub(id, state, current, set, func() { follower.notify(0) }, log)
	follower.hub = hub
	return hub
}

func newPlannerClient(hub *peer.Hub, v *lazyView) *peer.PlannerClient {
	return peer.NewPlannerClient(hub, v.get)
}

func newOwner(s Settings, timing membership.Timing, session *membership.Session, router *routing.Router, client *peer.PlannerClient, set *metrics.Set, log *logrus.Entry) *owner.Owner {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 2
	agents := &http.Client{Transport: transport}
	dial := func(address string) worker.Agent { return workerwire.NewAgent(agents, address, agentTimeout) }
	return owner.New(s.ID, timing, session, dial, router, client, set, log)
}

func newPlanner(table platform.Table, objects platform.Objects, hub *peer.Hub, session *membership.Session, v *lazyView, d *directory, current *config.Current, set *metrics.Set, log *logrus.Entry) *planner.Planner {
	around := planner.Environment{View: v.get, Directory: d.instances, Config: current}
	return planner.New(table, objects, hub, session, around, set, log)
}

func newRegister(process live.Process, timing membership.Timing, table platform.Table, objects platform.Objects, session *membership.Session, set *metrics.Set, log *logrus.Entry) *idempotency.Registry {
	return idempotency.NewRegistry(process, timing, table, objects, session, set, log)
}

func newListener(process live.Process, hub *peer.Hub, o *owner.Owner, p *planner.Planner, r *idempotency.Registry, f *configFollower, l *lazyShards, shutdown fx.Shutdowner, log *logrus.Entry) *listener {
	lst := &listener{self: process, hub: hub, owner: o, planner: p, register: r, follower: f}
	l.listener = lst
	lst.lost = func() {
		log.Error("replaced_by_another_process")
		_ = shutdown.Shutdown(fx.ExitCode(3))
	}
	return lst
}

func newKeeper(id ownership.Identity, timing membership.Timing, table platform.Table, hub *peer.Hub, session *membership.Session, d *directory, l *listener, lazy *lazyShards, v *lazyView, current *config.Current, log *logrus.Entry) *ownership.Keeper {
	k := ownership.NewKeeper(id, timing, table, hub, session, d.places, l, log)
	v.keeper = k
	l.drained = func() {
		if !lazy.stopping.Swap(true) {
			log.Info("drain_requested")
			k.SetStopping()
		}
	}
	return k
}

func newEntry(s Settings, id ownership.Identity, router *routing.Router, hub *peer.Hub, current *config.Current, store *config.Store, trail *audit.Trail, table platform.Table, register *idempotency.Registry, client *peer.PlannerClient, v *lazyView, k *ownership.Keeper, l *listener, lazy *lazyShards, o *owner.Owner, set *metrics.Set, log *logrus.Entry) *entry.Server {
	return entry.NewServer(entry.Deps{
		Identity: id, Router: router, Hub: hub, Config: current, Store: store, Trail: trail, Table: table,
		Register: register, Runs: client, View: v.get, RowsChanged: k.Kick, Token: s.OperatorToken,
		LargestWorker: o.MaxCapacity, Metrics: set, Log: log,
		Ready: func() error { return readiness(l, lazy) },
	})
}

// run registers the hooks that start the servers and the loops and stop them gracefully.
func run(lc fx.Lifecycle, p components) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := p.Servers.listen(); err != nil {
				cancel()
				return err
			}
			p.start(ctx)
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			p.stop(stopCtx)
			cancel()
			return p.Servers.close()
		},
	})
}
