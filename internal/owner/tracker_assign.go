package owner

import (
	"slices"

	"gentianstand/internal/fleet"
	"gentianstand/internal/resource"
	"gentianstand/internal/worker"
)

// Used returns the resources of the worker's running and assigned tasks.
func (t *Tracker) Used() resource.Amount {
	var used resource.Amount
	for _, status := range t.tasks {
		if status.State == worker.Running {
			used = used.Add(status.Need)
		}
	}
	for ref, start := range t.start {
		if _, known := t.tasks[ref]; !known {
			used = used.Add(start.Need)
		}
	}
	return used
}

// Assign queues the planner's assignments and returns whether anything changed
// that has to be sent or reported. The owner checks the capacity for each start
// again, because the planner may have decided on outdated state or have been
// superseded, and the worker must not be overcommitted. A start that does not
// fit is reported as refused.
func (t *Tracker) Assign(a fleet.Assignment) bool {
	changed := false
	for _, ref := range a.Ack {
		t.Acknowledge(ref)
	}
	for _, stop := range a.Stop {
		changed = t.assignStop(stop) || changed
	}
	for _, start := range a.Start {
		changed = t.assignStart(a.Boot, start) || changed
	}
	return changed
}

func (t *Tracker) assignStop(stop worker.TaskStop) bool {
	if _, waiting := t.start[stop.Ref]; waiting && !t.sending(stop.Ref) {
		delete(t.start, stop.Ref)
		t.tasks[stop.Ref] = worker.TaskStatus{Ref: stop.Ref, State: worker.Refused, Reason: "stopped before its start"}
		return true
	}
	if status, known := t.tasks[stop.Ref]; known && status.State.Ended() {
		return false
	}
	if t.stop[stop.Ref] == stop {
		return false
	}
	t.stop[stop.Ref] = stop
	return true
}

// sending reports whether a start was part of the last message, so that the
// worker may have received it.
func (t *Tracker) sending(ref worker.TaskRef) bool {
	return slices.ContainsFunc(t.sent.Start, func(s worker.TaskStart) bool { return s.Ref == ref })
}

func (t *Tracker) assignStart(boot string, start worker.TaskStart) bool {
	_, known := t.tasks[start.Ref]
	_, queued := t.start[start.Ref]
	switch {
	case known || queued:
		return false
	case boot != t.boot || t.state != fleet.Ready:
		return false
	case !t.Used().Add(start.Need).Fits(t.capacity):
		t.tasks[start.Ref] = worker.TaskStatus{Ref: start.Ref, State: worker.Refused, Need: start.Need, Reason: "the worker is full"}
		return true
	}
	t.start[start.Ref] = start
	return true
}

// Acknowledge records that the planner has stored the end of an attempt.
func (t *Tracker) Acknowledge(ref worker.TaskRef) {
	status, ok := t.tasks[ref]
	if !ok || !status.State.Ended() {
		return
	}
	t.ack[ref] = true
}

func sortedStarts(starts map[worker.TaskRef]worker.TaskStart) []worker.TaskStart {
	list := make([]worker.TaskStart, 0, len(starts))
	for _, s := range starts {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b worker.TaskStart) int {
		if a.Ref.String() < b.Ref.String() {
			return -1
		}
		return 1
	})
	return list
}
