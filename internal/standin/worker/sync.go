package worker

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"gentianstand/internal/worker"
)

// Sync implements worker.Agent.
func (w *Worker) Sync(_ context.Context, req worker.SyncRequest) (worker.SyncReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateLocked()
	if w.fault.DropAgent {
		return worker.SyncReply{}, worker.ErrUnreachable
	}
	if req.Epoch < w.epoch {
		w.record.Add(Event{At: w.now(), Worker: w.cfg.ID, Type: RefusedEpoch})
		return worker.SyncReply{}, worker.ErrStaleEpoch
	}
	if req.Epoch == w.epoch && req.Seq <= w.seq {
		return worker.SyncReply{}, worker.ErrOutOfOrder
	}
	w.epoch, w.seq = req.Epoch, req.Seq
	w.applyLocked(req)
	return w.replyLocked(req), nil
}

// QueryRequests implements worker.Agent.
func (w *Worker) QueryRequests(_ context.Context, ids []string) ([]worker.RequestState, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault.DropAgent {
		return nil, worker.ErrUnreachable
	}
	return w.requestStatesLocked(ids), nil
}

func (w *Worker) requestStatesLocked(ids []string) []worker.RequestState {
	var states []worker.RequestState
	for _, id := range ids {
		states = append(states, w.requestStateLocked(id))
	}
	return states
}

func (w *Worker) applyLocked(req worker.SyncRequest) {
	for _, ref := range req.Ack {
		if t, ok := w.tasks[ref]; ok && t.status.State.Ended() {
			delete(w.tasks, ref)
		}
	}
	for _, stop := range req.Stop {
		w.stopLocked(stop)
	}
	if req.Boot != w.boot {
		return
	}
	if req.LeaseUntil > w.clockLocked() {
		w.leaseUntil = max(w.leaseUntil, req.LeaseUntil)
	}
	for _, start := range req.Start {
		w.startLocked(start)
	}
}

func (w *Worker) startLocked(start worker.TaskStart) {
	if _, known := w.tasks[start.Ref]; known {
		return
	}
	status := worker.TaskStatus{Ref: start.Ref, Workload: start.Workload, Need: start.Need, Service: start.Service, State: worker.Running}
	t := &task{status: status, ends: worker.Succeeded}
	w.tasks[start.Ref] = t
	w.touchLocked(t)
	if w.leaseUntil == 0 {
		t.status.State, t.status.Reason = worker.Refused, "no lease"
		return
	}
	w.used = w.used.Add(start.Need)
	if !w.used.Fits(w.cfg.Capacity) {
		w.record.Add(Event{At: w.now(), Worker: w.cfg.ID, Type: OverCapacity})
	}
	w.record.Add(Event{At: w.now(), Worker: w.cfg.ID, Type: TaskStarted, Task: taskName(start.Ref), Attempt: start.Ref.Attempt})
	t.status.Used = start.Need
	if !start.Service {
		w.scheduleEnd(t, start)
	}
	if w.fault.FailAll {
		w.endLocked(t, worker.Failed, "fails everything", w.now())
	}
}

// scheduleEnd sets the simulated run time and result of a task from its command, for example
// ["sleep", "200ms"] or ["fail", "10ms"].
func (w *Worker) scheduleEnd(t *task, start worker.TaskStart) {
	duration := w.cfg.Work
	if len(start.Command) == 2 {
		if d, err := time.ParseDuration(start.Command[1]); err == nil {
			duration = d
		}
		if start.Command[0] == "fail" {
			t.ends = worker.Failed
		}
	}
	t.status.Result = fmt.Sprintf("%s done", strings.Join(start.Command, " "))
	limit := time.Duration(start.LimitMillis) * time.Millisecond
	if limit > 0 && duration > limit {
		duration, t.ends = limit, worker.Failed
		t.status.Result = "run-time limit reached"
	}
	t.endsAt = w.now().Add(duration)
}

func (w *Worker) stopLocked(stop worker.TaskStop) {
	t, ok := w.tasks[stop.Ref]
	if !ok || t.status.State != worker.Running {
		return
	}
	switch stop.Action {
	case worker.Drain:
		t.draining = true
		if !t.status.Service || len(w.requests) == 0 {
			w.endLocked(t, worker.Stopped, "drained", w.now())
		}
	case worker.Checkpoint, worker.Kill:
		w.endLocked(t, worker.Stopped, string(stop.Action), w.now())
	case worker.Throttle:
		t.status.Used = t.status.Need
	}
}

func (w *Worker) replyLocked(req worker.SyncRequest) worker.SyncReply {
	reply := worker.SyncReply{
		Boot: w.boot, Now: w.clockLocked(), Capacity: w.cfg.Capacity, Slots: w.cfg.Slots, Version: w.version,
	}
	for _, t := range w.tasks {
		if t.changed > req.Since {
			reply.Tasks = append(reply.Tasks, t.status)
		}
	}
	for _, epoch := range w.requests {
		if epoch < w.epoch {
			reply.OlderRequests++
		}
	}
	reply.RequestStates = w.requestStatesLocked(req.UnconfirmedRequests)
	return reply
}

// requestStateLocked returns the state of a request and revokes it if it has not arrived. The
// caller holds w.mu.
func (w *Worker) requestStateLocked(id string) worker.RequestState {
	if _, running := w.requests[id]; running {
		return worker.RequestRunning
	}
	if slices.Contains(w.finished, id) {
		return worker.RequestFinished
	}
	w.revoked[id] = true
	return worker.RequestRevoked
}

func taskName(ref worker.TaskRef) string { return fmt.Sprintf("%s/%d", ref.Run, ref.Index) }
