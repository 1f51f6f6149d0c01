package planner

import (
	"context"
	"time"

	"gentianstand/internal/fleet"
	"gentianstand/internal/live"
)

// send sends the outbox to the owners, each in its own goroutine so that an
// unresponsive owner does not delay the others.
func (t *term) send(ctx context.Context) {
	assignments := t.core.Outbox()
	if len(assignments) == 0 {
		return
	}
	view := t.planner.env.View()
	byOwner := map[string][]fleet.Assignment{}
	for _, a := range assignments {
		owner := currentOwner(view, t.core.workerView(a.Worker).report)
		byOwner[owner] = append(byOwner[owner], a)
	}
	for owner, list := range byOwner {
		t.orders++
		order := fleet.Order{PlannerEpoch: t.shard.Epoch, Sequence: t.orders, Assignments: list}
		go t.assign(ctx, owner, order)
	}
}

// currentOwner returns the instance that owns a worker: the one in the table, or the one that reported it
// with a later epoch. A change of owners just before the table fails is not seen there until it is back.
func currentOwner(view live.View, r fleet.Report) string {
	shard := view.Shards[r.Shard]
	if r.Owner != "" && r.Epoch > shard.Epoch {
		return r.Owner
	}
	return shard.Owner.Instance
}

// assign makes one call. After a failure the Core decides again what has to be
// sent. Repeating the message itself could start a task that has completed in
// the meantime.
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
