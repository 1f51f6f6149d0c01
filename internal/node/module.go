package node

import (
	"cmp"
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"gentianstand/internal/access"
	"gentianstand/internal/catalog"
	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/cellleader"
	"gentianstand/internal/cellowner"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/intake"
	"gentianstand/internal/relay"
	"gentianstand/internal/roster"
	"gentianstand/internal/store"
	"gentianstand/internal/traffic"
)

const (
	// cellPartition is the partition of the one cell.
	cellPartition = "cell-0"
	// workerLease is how far a worker's workerLease reaches. It has to bridge a take-over
	// after the last extension, which is up to a second old; each second
	// more delays the restart of what ran on a lost worker.
	workerLease = 3500 * time.Millisecond
	// spareWorkers is how many idle workers are kept ready at least. Sites of some
	// dozens of workers park none; with thousands, the widest steps need three workers for
	// each task where a third of them is allowed.
	spareWorkers = 128
	// memoryShare of the limit is what the garbage collector aims to stay below;
	// the rest is for stacks and for bytes that wait in sockets.
	memoryShare = 0.7
	// drainDuration is how long a stopping instance goes on taking connections: the
	// balancer stops sending new ones after two failed questions, a second apart.
	drainDuration = 2200 * time.Millisecond
	// stopReserve is kept of the grace for the end of the process.
	stopReserve = 700 * time.Millisecond
)

// Module returns the fx options of an instance.
func Module(s Settings, outside Adapters, log *logrus.Entry) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.StopTimeout(max(s.TerminationGrace, time.Second)),
		fx.Supply(s, outside, log),
		fx.Provide(newSelf, newWatched, newJobs, newDirectory, newOwnerMetrics, newLeader, newIntake,
			newRelays, cellpeer.NewClients, cellpeer.NewStoreFinder, metrics.NewSet, newCurrent, newState,
			newReader, newCatalogPeers, newGate),
		fx.Invoke(run),
	)
}

// state is what the parts of an instance share.
type state struct{ stopping atomic.Bool }

func newState() *state { return &state{} }

func newCurrent() *catalog.Current { return &catalog.Current{} }

func newReader(o Adapters, w *store.Monitored, current *catalog.Current, log *logrus.Entry) *catalogReader {
	return newCatalogReader(o.Catalogs(w), current, log)
}

func newCatalogPeers(r *catalogReader, f *cellpeer.StoreFinder, c *cellpeer.Clients) *catalogPeers {
	return &catalogPeers{reader: r, finder: f, clients: c}
}

func newGate(s Settings, r *catalogReader, p *catalogPeers, w *store.Monitored, set *metrics.Set, log *logrus.Entry) *access.Gate {
	return access.NewGate(s.Access, r.current, &catalogConfirmer{reader: r, store: w, peers: p}, access.NewMetrics(set), log)
}

func newSelf(s Settings) cellpeer.Instance {
	return cellpeer.Instance{Name: s.Name, Address: cmp.Or(s.PeerAdvertise, s.PeerListen), Zone: s.Zone, Incarnation: uuid.NewString(), StartedAt: time.Now(), Cores: s.Cores}
}

func newWatched(o Adapters) *store.Monitored { return store.NewMonitored(o.Store) }

func newJobs(s Settings, w *store.Monitored) *celljobs.Jobs {
	return celljobs.New(w, cellPartition).WithReaders(celljobs.ReadersFor(s.LinkMbps))
}

func newDirectory(self cellpeer.Instance, w *store.Monitored, log *logrus.Entry) *cellpeer.Directory {
	return cellpeer.NewDirectory(self, w, log)
}

func newOwnerMetrics(set *metrics.Set) *cellowner.Metrics { return cellowner.NewMetrics(set) }

func newLeader(s Settings, o Adapters, d *cellpeer.Directory, c *cellpeer.Clients, r *relays, w *store.Monitored, jobs *celljobs.Jobs, current *catalog.Current, m *cellowner.Metrics, log *logrus.Entry) *cellleader.Leader {
	advisers := cellpeer.NewAdvicePool(d, c, o.Adviser, r.advice())
	newOwner := func(term uint64, earlierStopped bool, claim store.Check, l cellowner.Leadership) *cellowner.Owner {
		settings := cell.Settings{Term: term, Lease: min(workerLease, s.MaxLease), PreviousOwnerStopped: earlierStopped, StopGrace: s.StopGrace,
			SpareWorkers: spareWorkers, EarlyStart: s.EarlyStart, RemoteDataFactor: s.RemoteDataFactor, Disabled: s.Disabled}
		return cellowner.New(settings, claim, cellowner.Deps{
			Store: w, Jobs: jobs, Roster: roster.NewServiceFilter(o.Roster(w, log), serviceFilter(current)), Runner: r.runner(), Advisers: advisers, Catalog: current.Get,
			Maintenance: newMaintenance(s, o, w, log), Leadership: l, Metrics: m, AcrossPartitions: s.AcrossPartitions, Log: log,
		})
	}
	return cellleader.New(cellPartition, d, c, w, newOwner, r, log)
}

// serviceFilter reports whether the catalog in force names a service; before there is one, all
// count as named.
func serviceFilter(current *catalog.Current) func(service string) bool {
	return func(service string) bool {
		c := current.Get()
		return c == nil || c.HasService(service)
	}
}

// newMaintenance returns what the owner needs for waves, or nothing where there are none.
func newMaintenance(s Settings, o Adapters, w *store.Monitored, log *logrus.Entry) cellowner.MaintenanceDeps {
	if o.Fleet == nil {
		return cellowner.MaintenanceDeps{}
	}
	return cellowner.MaintenanceDeps{Source: o.Waves(w, log), Fleet: o.Fleet, Holder: s.Name, Duration: s.MaintenanceDuration, HolderLease: s.HolderLease}
}

func newIntake(jobs *celljobs.Jobs, w *store.Monitored, l *cellleader.Leader, f *cellpeer.StoreFinder, c *cellpeer.Clients, set *metrics.Set, log *logrus.Entry) *intake.Intake {
	return intake.New(jobs, w, l, f, c, intake.NewMetrics(set), log)
}

// components is what run starts.
type components struct {
	fx.In
	Settings  Settings
	Adapters  Adapters
	State     *state
	Store     *store.Monitored
	Jobs      *celljobs.Jobs
	Directory *cellpeer.Directory
	Leader    *cellleader.Leader
	Relays    *relays
	Intake    *intake.Intake
	Gate      *access.Gate
	Reader    *catalogReader
	Peers     *catalogPeers
	Current   *catalog.Current
	Metrics   *metrics.Set
	Log       *logrus.Entry
}

// run starts the parts and stops them gracefully.
func run(lc fx.Lifecycle, p components) {
	if p.Settings.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(p.Settings.MemoryMiB<<20)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	callers := newServer("callers", traffic.Callers, p.Settings.CallerListen, connectionCloser{p.Adapters.Callers(p.Intake, p.Gate, p.Log), &p.State.stopping}, p.Log)
	others := []*server{
		newServer("ready", traffic.Peers, p.Settings.ReadyListen, readiness{p.Current, &p.State.stopping}, p.Log),
		newServer("peers", traffic.Peers, p.Settings.PeerListen, peersHandler(p), p.Log),
		newServer("metrics", traffic.Peers, p.Settings.MetricsListen, metricsHandler(p.Metrics), p.Log),
	}
	var loops sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(start context.Context) error {
			for _, s := range append(others, callers) {
				if err := s.listen(start); err != nil {
					cancel()
					return err
				}
			}
			follower := newCatalogFollower(p.Reader, p.Peers, p.Settings.Access, p.Log)
			loops.Go(func() { follower.run(ctx) })
			loops.Go(func() { p.Directory.Run(ctx) })
			loops.Go(func() { p.Directory.WatchStore(ctx, p.Store) })
			loops.Go(func() { p.Leader.Run(ctx) })
			loops.Go(func() { p.Relays.Run(ctx) })
			loops.Go(func() { traffic.Log(ctx, p.Log) })
			p.Log.WithFields(logrus.Fields{"zone": p.Settings.Zone, "callers": p.Settings.CallerListen, "peers": p.Settings.PeerListen}).Info("instance_started")
			return nil
		},
		OnStop: func(stop context.Context) error {
			p.stop(stop, callers)
			cancel()
			loops.Wait()
			p.Relays.Close()
			for _, s := range others {
				_ = s.http.Close() // nothing in progress there belongs to a caller
			}
			p.Log.Info("instance_stopped")
			return nil
		},
	})
}

// peersHandler serves other instances: calls, and links of an owner to this one as a relay.
func peersHandler(p components) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(relay.Path, p.Relays)
	mux.Handle("/", cellpeer.NewServer(p.Leader, p.Jobs, p.Adapters.Adviser, p.Peers, p.Log))
	return mux
}

// stop hands the cell over, lets the balancer notice, and finishes the callers'
// requests that are in progress.
func (p *components) stop(ctx context.Context, callers *server) {
	began := time.Now()
	p.State.stopping.Store(true)
	p.Log.Info("instance_stopping")
	p.Relays.Leave()
	p.Leader.HandOver(ctx)
	leaveCtx, cancel := context.WithTimeout(ctx, time.Second)
	p.Directory.Unregister(leaveCtx)
	cancel()
	time.Sleep(time.Until(began.Add(drainDuration)))
	finishCtx, cancel := context.WithDeadline(ctx, began.Add(p.Settings.TerminationGrace-stopReserve))
	defer cancel()
	callers.shutdown(finishCtx)
}

func metricsHandler(set *metrics.Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WritePrometheus(w, false)
		metrics.WriteProcessMetrics(w)
	})
}
