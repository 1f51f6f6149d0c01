package planner

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/live"
	"gentianstand/internal/platform"
	"gentianstand/internal/run"
)

// Timing of a term.
const (
	// workPeriod is the minimum time between two cycles and thus between two
	// group commits. Changes that arrive in between are committed together.
	workPeriod = 25 * time.Millisecond
	// idlePeriod is the cycle interval of an idle planner.
	idlePeriod = 250 * time.Millisecond
	// sweepPeriod is how often finished runs are scanned for expired ones.
	sweepPeriod = 10 * time.Minute
	// commitTimeout bounds a group commit, assignTimeout a call to an owner.
	commitTimeout = 2 * time.Second
	assignTimeout = time.Second
	loadPage      = 1000
)

// term is the period during which this process is the planner under one epoch.
type term struct {
	planner *Planner
	shard   live.Shard
	log     *logrus.Entry
	seq     *sequence
	core    *Core
	calls   chan func(*Core)
	results chan commitResult
	writing bool
	// retryAt is the earliest time of the next write after a failed one.
	retryAt time.Time
	sweptAt time.Time
	// orders is the sequence number of the last order of this term.
	orders uint64
	quit   context.CancelFunc
	done   chan struct{}
}

func (t *term) run(ctx context.Context) {
	defer close(t.done)
	if !t.begin(ctx) {
		return
	}
	t.log.WithField("runs", len(t.core.runs)).Info("planner_started")
	defer t.log.Info("planner_stopped")
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-t.calls:
			call(t.core)
			t.drainCalls()
		case result := <-t.results:
			if !t.finishCommit(result) {
				return
			}
		case <-timer.C:
		}
		timer.Reset(t.cycle(ctx))
	}
}

// begin fences previous planners and reads the runs. It retries until that
// succeeds or the term ends.
func (t *term) begin(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := t.load(ctx)
		if err == nil {
			return true
		}
		if errors.Is(err, errSuperseded) {
			return false
		}
		t.log.WithError(err).Warn("planner_start_failed")
		select {
		case <-ctx.Done():
		case <-time.After(idlePeriod):
		}
	}
	return false
}

func (t *term) load(ctx context.Context) error {
	if err := t.seq.open(ctx, t.shard.Epoch); err != nil {
		return err
	}
	rows, err := scanAll(ctx, t.planner.table, run.Prefix)
	if err != nil {
		return err
	}
	runs, err := run.Parse(rows)
	if err != nil {
		return err
	}
	t.core = NewCore(runs, time.Now())
	return nil
}

func scanAll(ctx context.Context, table platform.Table, prefix string) ([]platform.Row, error) {
	var all []platform.Row
	after := ""
	for {
		rows, err := table.Scan(ctx, prefix, after, loadPage)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < loadPage {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// drainCalls executes up to 1000 further queued calls, so that a burst of calls
// costs only one cycle.
func (t *term) drainCalls() {
	for range 1000 {
		select {
		case call := <-t.calls:
			call(t.core)
		default:
			return
		}
	}
}

// cycle decides, writes and sends. It returns the delay until the next cycle.
func (t *term) cycle(ctx context.Context) time.Duration {
	now := time.Now()
	if now.Sub(t.planner.lastCycle) < workPeriod {
		return workPeriod
	}
	t.planner.lastCycle = now
	if !t.planner.rights.MayAct(now) || !t.applyConfig(now) {
		return idlePeriod
	}
	t.checkRecovery()
	more := t.core.Decide(now, t.planner.rights.Outage(now))
	t.planner.metrics.cycle(time.Since(now))
	t.write(ctx, now)
	t.send(ctx)
	t.sweep(ctx, now)
	t.logEvents()
	if more || t.core.Dirty() {
		return workPeriod
	}
	return idlePeriod
}

// applyConfig passes the configuration in force to the Core. It returns false
// while the table names a later configuration than this instance has: an
// outdated configuration could restart runs that a later one ended.
func (t *term) applyConfig(now time.Time) bool {
	rec, text := t.planner.env.Config.Get()
	if rec.Number < t.planner.env.View().Config.Number {
		return false
	}
	if rec.Number > t.core.number {
		t.core.Apply(rec.Number, text, rec.Author, now)
	}
	return true
}

func (t *term) checkRecovery() {
	if t.core.Recovered() {
		return
	}
	var owners, listed []string
	view := t.planner.env.View()
	for name, shard := range view.Shards {
		if name != live.PlannerShard {
			owners = append(owners, shard.Owner.Instance)
		}
	}
	for _, inst := range t.planner.env.Directory() {
		if inst.Role == platform.RoleWorker {
			listed = append(listed, inst.ID)
		}
	}
	t.core.CheckRecovery(owners, listed)
}

func (t *term) logEvents() {
	for _, e := range t.core.Events() {
		t.planner.metrics.event(e)
		t.log.WithFields(logrus.Fields{"run": e.Run, "task": e.Task, "worker": e.Worker, "detail": e.Detail}).Info(e.Name)
	}
}
