package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/fleet"
	"gentianstand/internal/live"
	"gentianstand/internal/membership"
	"gentianstand/internal/ownership"
	"gentianstand/internal/platform"
	"gentianstand/internal/resource"
	"gentianstand/internal/routing"
)

// reportPeriod is the interval of full reports of all workers, which repair the
// effects of lost reports.
const reportPeriod = 15 * time.Second

// reportRetry is the delay after a report that could not be delivered.
const reportRetry = 200 * time.Millisecond

// Owner manages all workers of the shards that this process owns. It is safe
// for concurrent use.
type Owner struct {
	id      string
	timing  membership.Timing
	gate    Gate
	dial    Dialer
	router  *routing.Router
	planner Planner
	log     *logrus.Entry
	metrics ownerMetrics
	changes chan struct{}
	base    context.Context
	quit    context.CancelFunc
	// fullReport makes the next report cover all workers.
	fullReport atomic.Bool
	// sequence numbers all reports of this process.
	sequence atomic.Uint64

	mu           sync.Mutex
	loops        map[string]*workerLoop
	held         map[string]ownership.HeldShard
	directory    []platform.Instance
	drains       map[string]live.Drain
	plannerEpoch uint64
	// orderEpoch and orderSequence identify the last accepted order.
	orderEpoch    uint64
	orderSequence uint64
}

type ownerMetrics struct {
	syncs   *metrics.Counter
	reports *metrics.Counter
}

// New returns an Owner without shards. id is the ID of this instance.
func New(id string, timing membership.Timing, gate Gate, dial Dialer, router *routing.Router, planner Planner, set *metrics.Set, log *logrus.Entry) *Owner {
	base, quit := context.WithCancel(context.Background())
	o := &Owner{
		id: id, timing: timing, gate: gate, dial: dial, router: router, planner: planner, log: log,
		changes: make(chan struct{}, 1), base: base, quit: quit,
		loops: map[string]*workerLoop{}, held: map[string]ownership.HeldShard{}, drains: map[string]live.Drain{},
		metrics: ownerMetrics{
			syncs:   set.NewCounter("gentianstand_worker_syncs_total"),
			reports: set.NewCounter("gentianstand_reports_sent_total"),
		},
	}
	set.NewGauge("gentianstand_workers_owned", func() float64 { return float64(o.count(fleet.Ready)) })
	set.NewGauge("gentianstand_workers_lost", func() float64 { return float64(o.count(fleet.Lost)) })
	return o
}

// SetHeld sets the shards that this process owns.
func (o *Owner) SetHeld(held []ownership.HeldShard) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.held = map[string]ownership.HeldShard{}
	for _, h := range held {
		if h.Shard.Name != live.PlannerShard {
			o.held[h.Shard.Name] = h
		}
	}
	o.reconcileLocked()
}

// SetDirectory sets the platform's list of instances. The list lags behind, so
// it only adds workers and marks leaving ones; a worker that is no longer
// listed is kept until its leases have expired.
func (o *Owner) SetDirectory(list []platform.Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.directory = list
	o.reconcileLocked()
}

// SetDrains sets the requested drains of workers.
func (o *Owner) SetDrains(drains map[string]live.Drain) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drains = drains
	o.reconcileLocked()
}

func (o *Owner) reconcileLocked() {
	listed := map[string]bool{}
	for _, inst := range o.directory {
		if inst.Role != platform.RoleWorker {
			continue
		}
		listed[inst.ID] = true
		if h, ok := o.held[inst.Rack]; ok {
			o.ensureLoopLocked(inst, h)
		}
	}
	for id, m := range o.loops {
		if m.finished(o.held, listed[id]) {
			o.dropLocked(id, m)
		}
	}
}

// ensureLoopLocked starts or updates the loop of a worker.
func (o *Owner) ensureLoopLocked(inst platform.Instance, h ownership.HeldShard) {
	m, ok := o.loops[inst.ID]
	if ok && m.epoch == h.Shard.Epoch && m.address == inst.Address {
		m.refresh(inst, h, o.drains)
		return
	}
	if ok {
		o.dropLocked(inst.ID, m)
	}
	if !h.HandedOverAt.IsZero() {
		return
	}
	ctx, quit := context.WithCancel(o.base)
	owned := OwnedWorker{Instance: inst, Shard: inst.Rack, Epoch: h.Shard.Epoch}
	_, draining := o.drains[inst.ID]
	m = &workerLoop{
		id: inst.ID, epoch: h.Shard.Epoch, address: inst.Address, shard: inst.Rack,
		owner: o, agent: o.dial(inst.Address), wakeup: make(chan struct{}, 1), quit: quit, draining: draining,
		tracker: NewTracker(owned, o.id, o.timing, h.OldLeasesEnd(o.timing)), held: h, dirty: true,
	}
	o.loops[inst.ID] = m
	go m.run(ctx)
}

// refresh updates the loop after changes of the directory, the shard or the
// drains.
func (m *workerLoop) refresh(inst platform.Instance, h ownership.HeldShard, drains map[string]live.Drain) {
	_, draining := drains[inst.ID]
	m.mu.Lock()
	changed := m.draining != draining || m.tracker.owned.Instance.Leaving != inst.Leaving
	m.draining = draining
	m.tracker.owned.Instance = inst
	m.held = h
	m.tracker.SetOldLeasesEnd(h.OldLeasesEnd(m.owner.timing))
	m.dirty = m.dirty || changed
	m.mu.Unlock()
	if changed {
		m.publishState(true, time.Now())
	}
}

// finished reports whether the loop can end: its shard is no longer owned, or
// the worker is no longer listed and nothing can be running there.
func (m *workerLoop) finished(held map[string]ownership.HeldShard, listed bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := held[m.shard]
	if !ok || h.Shard.Epoch != m.epoch {
		return true
	}
	return !listed && m.tracker.State() == fleet.Lost && !m.dirty
}

func (o *Owner) dropLocked(id string, m *workerLoop) {
	m.quit()
	delete(o.loops, id)
	if rest := o.router.RemoveWorker(id); rest != nil {
		go m.resolveUntilIdle(o.base, rest)
	}
}

// dropSuperseded drops a worker that a later owner has claimed.
func (o *Owner) dropSuperseded(m *workerLoop) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.loops[m.id] == m {
		o.dropLocked(m.id, m)
		m.log().Info("worker_overtaken")
	}
}

func (o *Owner) list() []*workerLoop {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]*workerLoop, 0, len(o.loops))
	for _, m := range o.loops {
		list = append(list, m)
	}
	return list
}

func (o *Owner) count(state fleet.WorkerState) int {
	n := 0
	for _, m := range o.list() {
		m.mu.Lock()
		if m.tracker.State() == state {
			n++
		}
		m.mu.Unlock()
	}
	return n
}

// MaxCapacity returns, for each resource, the largest capacity of any worker
// here.
func (o *Owner) MaxCapacity() resource.Amount {
	var largest resource.Amount
	for _, r := range o.Reports() {
		largest = largest.Max(r.Capacity)
	}
	return largest
}
