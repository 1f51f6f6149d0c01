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
	"gentianstand/internal/callerconn"
	"gentianstand/internal/callerlimit"
	"gentianstand/internal/catalog"
	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/cellleader"
	"gentianstand/internal/cellowner"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/intake"
	"gentianstand/internal/jobmemory"
	"gentianstand/internal/relay"
	"gentianstand/internal/roster"
	"gentianstand/internal/store"
	"gentianstand/internal/traffic"
)

const (
	// cellPartition is the store partition of the only cell.
	cellPartition = "cell-0"
	// workerLease is the duration of a worker's lease. It has to outlast a takeover after
	// the last renewal, which is up to 1 second old. Each additional second delays the
	// restart of the runs of a lost worker.
	workerLease = 3500 * time.Millisecond
	// spareWorkers is the minimum number of idle workers that are not parked. Sites with a
	// few dozen workers therefore park none. On sites with thousands, the widest steps need
	// 3 workers for each task where only a third of the workers is permitted.
	spareWorkers = 128
	// memoryShare is the soft limit of the garbage collector as a share of the memory limit.
	// The rest is for stacks and socket buffers.
	memoryShare = 0.7
	// drainDuration is how long a stopping instance continues to accept connections. The
	// load balancer stops sending new ones after 2 failed health checks, 1 second apart.
	drainDuration = 2200 * time.Millisecond
	// stopReserve is the part of the termination grace period that is reserved for the exit
	// of the process.
	stopReserve = 700 * time.Millisecond
)

// Module returns the fx options that assemble and run an instance.
func Module(s Settings, outside Adapters, log *logrus.Entry) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.StopTimeout(max(s.TerminationGrace, time.Second)),
		fx.Supply(s, outside, log),
		fx.Provide(newSelf, newMonitoredStore, newJobs, newDirectory, newOwnerMetrics, newLeader, newIntake,
			newRelays, cellpeer.NewClients, cellpeer.NewStoreFinder, metrics.NewSet, newCurrent, newState,
			newReader, newCatalogPeers, newGate),
		fx.Invoke(run),
	)
}

// state is shared by the components of an instance.
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

func newMonitoredStore(o Adapters) *store.Monitored { return store.NewMonitored(o.Store) }

func newJobs(s Settings, w *store.Monitored) *celljobs.Jobs {
	return celljobs.New(w, cellPartition).WithReaders(celljobs.ReadersFor(s.LinkMbps))
}

func newDirectory(self cellpeer.Instance, w *store.Monitored, log *logrus.Entry) *cellpeer.Directory {
	return cellpeer.NewDirectory(self, w, log)
}

func newOwnerMetrics(set *metrics.Set) *cellowner.Metrics { return cellowner.NewMetrics(set) }

func newLeader(s Settings, o Adapters, d *cellpeer.Directory, c *cellpeer.Clients, r *relays, w *store.Monitored, jobs *celljobs.Jobs, current *catalog.Current, m *cellowner.Metrics, log *logrus.Entry) *cellleader.Leader {
	advisers := cellpeer.NewAdvicePool(d, c, o.Adviser, r.advice())
	if s.Disabled.Has(cell.AdviceBudget) {
		advisers.KeepFixedShare()
	}
	newOwner := func(term uint64, previous cellleader.PreviousOwner, claim store.Check, l cellowner.Leadership) *cellowner.Owner {
		settings := cell.Settings{Term: term, Lease: min(workerLease, s.MaxLease), PreviousOwnerStopped: previous.Stopped, PredecessorStopped: previous.PredecessorStopped, PreviousOwnerLimit: previous.Limit, StopGrace: s.StopGrace,
			SpareWorkers: spareWorkers, RowBytes: s.RowBytes, JobBytesLimit: jobmemory.LimitFor(s.memoryBytes()), EarlyStart: s.EarlyStart, RemoteDataFactor: s.RemoteDataFactor, Disabled: s.Disabled}
		return cellowner.New(settings, claim, cellowner.Deps{
			Store: w, Jobs: jobs, Roster: roster.NewServiceFilter(o.Roster(w, log), serviceFilter(current)), Runner: r.runner(), Advisers: advisers, Catalog: current.Get,
			Maintenance: newMaintenance(s, o, w, log), Leadership: l, Metrics: m, AcrossPartitions: s.AcrossPartitions, Log: log,
		})
	}
	return cellleader.New(cellPartition, d, c, w, newOwner, r, log)
}

// serviceFilter returns a function that reports whether the catalog in force contains a
// service. Until a catalog is in force, it accepts every service.
func serviceFilter(current *catalog.Current) func(service string) bool {
	return func(service string) bool {
		c := current.Get()
		return c == nil || c.HasService(service)
	}
}

// newMaintenance returns the owner's dependencies for maintenance waves. They are empty on
// platforms without a fleet interface.
func newMaintenance(s Settings, o Adapters, w *store.Monitored, log *logrus.Entry) cellowner.MaintenanceDeps {
	if o.Fleet == nil {
		return cellowner.MaintenanceDeps{}
	}
	return cellowner.MaintenanceDeps{Source: o.Waves(w, log), Fleet: o.Fleet, Holder: s.Name, Duration: s.MaintenanceDuration, HolderLease: s.HolderLease}
}

func newIntake(s Settings, jobs *celljobs.Jobs, w *store.Monitored, l *cellleader.Leader, f *cellpeer.StoreFinder, c *cellpeer.Clients, current *catalog.Current, set *metrics.Set, log *logrus.Entry) *intake.Intake {
	i := intake.New(jobs, w, l, f, c, intake.NewMetrics(set), log)
	if !s.Disabled.Has(cell.WorkspaceAdmission) {
		i.WithWorkspaces(current.Get, s.Name)
	}
	return i.WithStartLimit(jobmemory.StartLimitFor(s.memoryBytes()))
}

// components are the parts of an instance that run starts and stops.
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

// run registers the hooks that start the components and stop them gracefully.
func run(lc fx.Lifecycle, p components) {
	if p.Settings.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(p.Settings.MemoryMiB<<20)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	limits := callerlimit.LimitsFor(callerlimit.Machine{MemoryBytes: p.Settings.memoryBytes(), Descriptors: p.Settings.MaxDescriptors})
	callers := newServer("callers", traffic.Callers, p.Settings.CallerListen, connectionCloser{p.Adapters.Callers(p.Intake, p.Gate, p.Log), &p.State.stopping}, p.Log).
		withGuard(callerconn.NewGuard(limits, p.Metrics, p.Log))
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
				_ = s.http.Close() // these servers handle no requests of callers
			}
			p.Log.Info("instance_stopped")
			return nil
		},
	})
}

// peersHandler serves other instances: their calls, and the links of an owner that uses this
// instance as a relay.
func peersHandler(p components) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(relay.Path, p.Relays)
	mux.Handle("/", cellpeer.NewServer(p.Leader, p.Jobs, p.Adapters.Adviser, p.Peers, p.Log))
	return mux
}

// stop hands the cell over to another instance, waits until the load balancer sends no new
// connections, and finishes the callers' requests that are in progress.
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
