package planner

import (
	"gentianstand/internal/fleet"
	"gentianstand/internal/run"
	"gentianstand/internal/worker"
)

// outbox collects assignments for the owners of workers.
type outbox struct {
	byWorker map[string]*fleet.Assignment
}

func newOutbox() *outbox { return &outbox{byWorker: map[string]*fleet.Assignment{}} }

func (o *outbox) of(workerID, boot string) *fleet.Assignment {
	a, ok := o.byWorker[workerID]
	if !ok || a.Boot != boot {
		a = &fleet.Assignment{Worker: workerID, Boot: boot}
		o.byWorker[workerID] = a
	}
	return a
}

func (o *outbox) start(workerID, boot string, s worker.TaskStart) {
	a := o.of(workerID, boot)
	for _, known := range a.Start {
		if known.Ref == s.Ref {
			return
		}
	}
	a.Start = append(a.Start, s)
}

func (o *outbox) stop(workerID, boot string, s worker.TaskStop) {
	a := o.of(workerID, boot)
	for _, known := range a.Stop {
		if known == s {
			return
		}
	}
	a.Stop = append(a.Stop, s)
}

func (o *outbox) ack(workerID, boot string, ref worker.TaskRef) {
	a := o.of(workerID, boot)
	a.Ack = append(a.Ack, ref)
}

// Outbox returns the collected assignments and empties the outbox. An
// assignment that does not arrive is detected from the worker's next report and
// sent again.
func (c *Core) Outbox() []fleet.Assignment {
	list := make([]fleet.Assignment, 0, len(c.outbox.byWorker))
	for _, id := range sortedKeys(c.outbox.byWorker) {
		a := c.outbox.byWorker[id]
		a.Epoch = c.workerView(id).report.Epoch
		list = append(list, *a)
	}
	c.outbox = newOutbox()
	return list
}

// resend queues undelivered assignments again. Starts that are no longer wanted
// are dropped.
func (c *Core) resend(list []fleet.Assignment) {
	for _, a := range list {
		for _, s := range a.Start {
			c.resendStart(a, s)
		}
		for _, s := range a.Stop {
			c.outbox.stop(a.Worker, a.Boot, s)
		}
		for _, ref := range a.Ack {
			c.outbox.ack(a.Worker, a.Boot, ref)
		}
	}
}

func (c *Core) resendStart(a fleet.Assignment, s worker.TaskStart) {
	key := taskKey{s.Ref.Run, s.Ref.Index}
	e, ok := c.active[key.run]
	if !ok || key.index >= len(e.run.Tasks) {
		return
	}
	t := &e.run.Tasks[key.index]
	if t.Attempt == s.Ref.Attempt && t.Worker == a.Worker && t.Boot == a.Boot && !t.Reported {
		c.sendStart(key)
	}
}

// sendStart queues the start of an assigned task.
func (c *Core) sendStart(key taskKey) {
	e, ok := c.active[key.run]
	if !ok {
		return
	}
	w := e.run.Workload
	t := &e.run.Tasks[key.index]
	if t.State != run.TaskAssigned || !c.workerView(t.Worker).tasks[key] || t.Stopping {
		return
	}
	c.outbox.start(t.Worker, t.Boot, worker.TaskStart{
		Ref: c.ref(key), Workload: w.Name, Need: t.Need, Service: w.Kind == "service",
		Command: w.Command, LimitMillis: w.RunTimeLimit.Milliseconds(),
	})
}

// stopTask marks an assigned task as stopping and queues the stop.
func (c *Core) stopTask(e *entry, index int, action worker.StopAction) {
	t := &e.run.Tasks[index]
	t.Stopping = true
	c.outbox.stop(t.Worker, t.Boot, worker.TaskStop{Ref: c.ref(taskKey{e.run.ID, index}), Action: action})
}

func (c *Core) ref(key taskKey) worker.TaskRef {
	t := &c.runs[key.run].run.Tasks[key.index]
	return worker.TaskRef{Run: key.run, Index: key.index, Attempt: t.Attempt}
}
