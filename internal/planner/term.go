package planner

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/fault"
	"gentianstand/internal/fleet"
	"gentianstand/internal/live"
	"gentianstand/internal/platform"
	"gentianstand/internal/run"
)

// The periods of a term.
const (
	// workPeriod is the least time between two cycles, and so between two
	// group commits; what happens meanwhile goes together.
	workPeriod = 25 * time.Millisecond
	// idlePeriod is how often an idle planner looks around.
	idlePeriod = 250 * time.Millisecond
	// sweepPeriod is how often finished runs are looked through.
	sweepPeriod = 10 * time.Minute
	// commitTimeout bounds a group commit, assignTimeout a call to an owner.
	commitTimeout = 2 * time.Second
	assignTimeout = time.Second
	loadPage      = 1000
)

// term is the time in which this process is the planner under one epoch.
type term struct {
	planner *Planner
	shard   live.Shard
	log     *logrus.Entry
	seq     *sequence
	core    *Core
	calls   chan func(*Core)
	results chan commitResult
	writing bool
	// retryAt is when to write again after a write that failed.
	retryAt time.Time
	swept   time.Time
	// orders counts the orders of this term.
	orders uint64
	quit   context.CancelFunc
	done   chan struct{}
}

type commitResult struct {
	batch *Batch
	err   error
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

// begin fences earlier planners and reads the runs, until that has worked or
// the term ends.
func (t *term) begin(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := t.load(ctx)
		if err == nil {
			return true
		}
		if errors.Is(err, errOvertaken) {
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

// drainCalls takes in whatever else has arrived, so that a wave of calls
// costs one cycle.
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

// cycle decides, writes and sends, and returns when to look again.
func (t *term) cycle(ctx context.Context) time.Duration {
	now := time.Now()
	if now.Sub(t.planner.lastCycle) < workPeriod {
		return workPeriod
	}
	t.planner.lastCycle = now
	if !t.planner.rights.MayAct(now) || !t.takeText(now) {
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

// takeText brings the text in force to the core. It reports false while the
// table names a later one than this instance has: planning an old text could
// bring back what a later one ended.
func (t *term) takeText(now time.Time) bool {
	rec, text := t.planner.around.Config.Get()
	if rec.Number < t.planner.around.View().Config.Number {
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
	view := t.planner.around.View()
	for name, shard := range view.Shards {
		if name != live.PlannerShard {
			owners = append(owners, shard.Owner.Instance)
		}
	}
	for _, inst := range t.planner.around.Directory() {
		if inst.Role == platform.RoleWorker {
			listed = append(listed, inst.ID)
		}
	}
	t.core.CheckRecovery(owners, listed)
}

// write starts a group commit if none is under way. In a confirmed outage
// starts leave unwritten, and the rows wait until the table is back.
func (t *term) write(ctx context.Context, now time.Time) {
	if t.writing {
		return
	}
	if t.planner.rights.Outage(now) {
		t.core.ReleaseUnwritten()
		return
	}
	if !t.core.Dirty() || now.Before(t.retryAt) {
		return
	}
	batch, err := t.core.Changes()
	if err != nil {
		t.log.WithError(err).Error("planner_rows_unwritable")
		return
	}
	t.writing = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		err := t.seq.commit(ctx, batch.Puts, batch.Deletes)
		select {
		case t.results <- commitResult{batch, err}:
		case <-t.done:
		}
	}()
}

// finishCommit reports false if the term is over.
func (t *term) finishCommit(result commitResult) bool {
	t.writing = false
	t.planner.metrics.commits.Inc()
	t.planner.metrics.rows.Add(len(result.batch.Puts))
	switch {
	case result.err == nil:
		t.core.Committed(result.batch)
	case errors.Is(result.err, errOvertaken):
		t.log.Warn("planner_overtaken")
		for _, tell := range result.batch.waiters {
			tell(doubtfulWrite(result.err))
		}
		return false
	default:
		t.log.WithError(result.err).Warn("planner_commit_failed")
		t.retryAt = time.Now().Add(idlePeriod)
		t.core.Failed(result.batch, t.planner.rights.Outage(time.Now()), doubtfulWrite(result.err))
	}
	return true
}

func doubtfulWrite(err error) error {
	return fault.New(fault.PlatformUnavailable, "the table did not say whether this was kept; ask again with the same key: %w", err).
		WithOutcome(fault.MayHaveRun)
}

// send brings the outbox to the owners, each in its own goroutine so that a
// silent one delays nobody.
func (t *term) send(ctx context.Context) {
	assignments := t.core.Outbox()
	if len(assignments) == 0 {
		return
	}
	view := t.planner.around.View()
	byOwner := map[string][]fleet.Assignment{}
	for _, a := range assignments {
		shard := t.core.view(a.Worker).report.Shard
		owner := view.Shards[shard].Owner.Instance
		byOwner[owner] = append(byOwner[owner], a)
	}
	for owner, list := range byOwner {
		t.orders++
		order := fleet.Order{PlannerEpoch: t.shard.Epoch, Sequence: t.orders, Assignments: list}
		go t.assign(ctx, owner, order)
	}
}

// assign makes one call. After a failure the core decides anew what is still
// to be sent: repeating the message itself could start a task that has run to
// its end meanwhile.
func (t *term) assign(ctx context.Context, owner string, order fleet.Order) {
	if !t.planner.rights.MayAct(time.Now()) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, assignTimeout)
	defer cancel()
	err := t.planner.owners.Assign(callCtx, owner, order)
	if err == nil {
		t.planner.metrics.assigns.Inc()
		return
	}
	t.log.WithError(err).WithField("owner", owner).Warn("assign_failed")
	select {
	case <-ctx.Done():
		return
	case <-time.After(idlePeriod):
	}
	select {
	case t.calls <- func(c *Core) { c.resend(order.Assignments) }:
	case <-ctx.Done():
	case <-t.done:
	}
}

// sweep moves finished runs from the table to the object store, a few at a
// time.
func (t *term) sweep(ctx context.Context, now time.Time) {
	if t.writing || now.Sub(t.swept) < sweepPeriod || t.planner.rights.Outage(now) {
		return
	}
	t.swept = now
	expired := t.core.Expired(now)
	if len(expired) > loadPage {
		expired = expired[:loadPage]
	}
	if len(expired) == 0 {
		return
	}
	archived := slices.Clone(expired)
	go t.archive(ctx, archived)
}

// archive writes runs to the object store and then asks for the removal of
// their rows; a run whose object could not be written keeps its rows.
func (t *term) archive(ctx context.Context, runs []*run.Run) {
	for _, r := range runs {
		data, err := json.Marshal(r)
		if err != nil {
			continue
		}
		if err := t.planner.objects.PutObject(ctx, "runs/"+r.ID, data); err != nil {
			t.log.WithError(err).Warn("archive_failed")
			return
		}
		select {
		case t.calls <- func(c *Core) { c.removeRows(r.ID) }:
		case <-ctx.Done():
			return
		}
	}
}

func (t *term) logEvents() {
	for _, e := range t.core.Events() {
		t.planner.metrics.event(e)
		t.log.WithFields(logrus.Fields{"run": e.Run, "task": e.Task, "worker": e.Worker, "detail": e.Detail}).Info(e.Name)
	}
}
