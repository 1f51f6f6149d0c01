package planner

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/fault"
	"gentianstand/internal/fleet"
	"gentianstand/internal/live"
	"gentianstand/internal/platform"
	"gentianstand/internal/run"
)

// Planner runs a Core while this process owns the planner shard. It is safe for
// concurrent use. At other times, calls that need the Core return a NotOwner
// fault.
type Planner struct {
	table   platform.Table
	objects platform.Objects
	owners  Owners
	rights  Rights
	env     Environment
	log     *logrus.Entry
	metrics plannerMetrics

	mu      sync.Mutex
	current *term
	// lastCycle is used only by the running term.
	lastCycle time.Time
}

// New returns a Planner without a running term.
func New(table platform.Table, objects platform.Objects, owners Owners, rights Rights, env Environment, set *metrics.Set, log *logrus.Entry) *Planner {
	p := &Planner{table: table, objects: objects, owners: owners, rights: rights, env: env, log: log, metrics: newPlannerMetrics(set)}
	set.NewGauge("gentianstand_planner", func() float64 { return float64(p.Epoch()) })
	return p
}

// SetShard starts or ends the term. shard is the planner's row if this process
// owns it, otherwise nil.
func (p *Planner) SetShard(shard *live.Shard) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && (shard == nil || shard.Epoch != p.current.shard.Epoch || p.current.over()) {
		p.current.quit()
		<-p.current.done
		p.current = nil
	}
	if shard == nil || p.current != nil {
		return
	}
	ctx, quit := context.WithCancel(context.Background())
	t := &term{
		planner: p, shard: *shard, seq: &sequence{table: p.table},
		log:   p.log.WithField("planner_epoch", shard.Epoch),
		calls: make(chan func(*Core), 1024), results: make(chan commitResult),
		quit: quit, done: make(chan struct{}),
	}
	p.current = t
	go t.run(ctx)
}

func (t *term) over() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// Epoch returns the epoch of the running term, or 0 if there is none.
func (p *Planner) Epoch() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return 0
	}
	return p.current.shard.Epoch
}

// do runs f on the Core of the running term and waits until it has returned.
func (p *Planner) do(ctx context.Context, f func(*Core)) error {
	p.mu.Lock()
	t := p.current
	p.mu.Unlock()
	if t == nil {
		return fault.New(fault.NotOwner, "this instance is not the planner")
	}
	ran := make(chan struct{})
	call := func(c *Core) { f(c); close(ran) }
	select {
	case t.calls <- call:
	case <-t.done:
		return fault.New(fault.NotOwner, "the planner's term has ended")
	case <-ctx.Done():
		return fault.New(fault.DeadlineExceeded, "the planner is busy: %w", ctx.Err())
	}
	select {
	case <-ran:
		return nil
	case <-t.done:
		return fault.New(fault.NotOwner, "the planner's term has ended").WithOutcome(fault.MayHaveRun)
	case <-ctx.Done():
		return fault.New(fault.DeadlineExceeded, "the planner is busy: %w", ctx.Err()).WithOutcome(fault.MayHaveRun)
	}
}

// Report records an owner's reports; full means that they cover all its
// workers. It returns the epoch of the planner.
func (p *Planner) Report(ctx context.Context, owner string, full bool, reports []fleet.Report) (uint64, error) {
	err := p.do(ctx, func(c *Core) {
		now := time.Now()
		for _, r := range reports {
			r.Owner = owner
			c.Report(r, now)
		}
		if full {
			c.OwnerReported(owner)
		}
	})
	return p.Epoch(), err
}

// Submit creates a run of a workload and returns its ID once the run has been
// written. It is idempotent: the same key yields the same run.
func (p *Planner) Submit(ctx context.Context, workload, key, by string) (string, error) {
	if p.rights.Outage(time.Now()) {
		return "", fault.New(fault.PlatformUnavailable, "the table service is down, so a new run could not be kept")
	}
	if key == "" {
		key = uuid.NewString()
	}
	id := run.SubmittedID(workload, key)
	result := make(chan error, 1)
	err := p.do(ctx, func(c *Core) {
		c.Submit(workload, id, by, time.Now(), func(err error) { result <- err })
	})
	if err != nil {
		return "", err
	}
	return id, p.await(ctx, result)
}

// Cancel cancels runs by ID, or all runs of a workload if one is named. It
// returns the number of runs affected once their rows have been written.
func (p *Planner) Cancel(ctx context.Context, ids []string, workload, by string) (int, error) {
	if p.rights.Outage(time.Now()) {
		return 0, fault.New(fault.PlatformUnavailable, "the table service is down, so a cancellation could not be kept")
	}
	var n int
	var result chan error
	err := p.do(ctx, func(c *Core) {
		result = make(chan error, maxActiveRuns)
		n = c.Cancel(ids, workload, by, time.Now(), func(err error) { result <- err })
	})
	if err != nil {
		return 0, err
	}
	for range n {
		if err := p.await(ctx, result); err != nil {
			return 0, err
		}
	}
	return n, nil
}

func (p *Planner) await(ctx context.Context, result chan error) error {
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return fault.New(fault.DeadlineExceeded, "the table is slow; ask again with the same key: %w", ctx.Err()).
			WithOutcome(fault.MayHaveRun)
	}
}

// Run returns one run with its tasks.
func (p *Planner) Run(ctx context.Context, id string) (run.Run, error) {
	var r run.Run
	found := false
	if err := p.do(ctx, func(c *Core) { r, found = c.Run(id) }); err != nil {
		return r, err
	}
	if !found {
		return r, fault.New(fault.UnknownRun, "no run %q is known", id)
	}
	return r, nil
}

// Summaries returns all runs without their tasks.
func (p *Planner) Summaries(ctx context.Context) ([]Summary, error) {
	var list []Summary
	err := p.do(ctx, func(c *Core) { list = c.Summaries() })
	return list, err
}
