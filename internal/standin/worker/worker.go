// Package worker simulates the platform's agent on a worker for tests and for development. It
// simulates task runs, serves requests, enforces epochs and leases, records all events and
// can inject faults.
package worker

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"gentianstand/internal/resource"
	"gentianstand/internal/worker"
)

// maxFinishedRequests is the number of finished requests that a worker remembers.
const maxFinishedRequests = 256

// Worker is a stand-in worker. It implements worker.Agent; Server serves it over HTTP.
type Worker struct {
	cfg    Config
	record *Record
	now    func() time.Time

	mu         sync.Mutex
	fault      Fault
	boot       string
	started    time.Time
	epoch      uint64
	seq        uint64
	leaseUntil int64
	tasks      map[worker.TaskRef]*task
	used       resource.Amount
	version    uint64
	requests   map[string]uint64
	finished   []string
	revoked    map[string]bool
	silenced   map[string]bool
}

type task struct {
	status   worker.TaskStatus
	changed  uint64
	endsAt   time.Time
	draining bool
	ends     worker.TaskState
}

// New returns a worker that reads the time from now and adds its events to record.
func New(cfg Config, record *Record, now func() time.Time) *Worker {
	w := &Worker{cfg: cfg, record: record, now: now}
	w.Restart()
	return w
}

// Restart simulates a restart of the worker's process; its running tasks fail.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks != nil {
		w.updateLocked()
	}
	for _, t := range w.tasks {
		w.endLocked(t, worker.Failed, "worker restarted", w.now())
	}
	w.boot = uuid.NewString()
	w.started = w.now()
	w.epoch, w.seq, w.leaseUntil = 0, 0, 0
	w.tasks = map[worker.TaskRef]*task{}
	w.used = resource.Amount{}
	w.requests = map[string]uint64{}
	w.revoked = map[string]bool{}
	w.finished = nil
}

// SetFault replaces the current faults.
func (w *Worker) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// RunningTasks returns the attempts that are running.
func (w *Worker) RunningTasks() []worker.TaskRef {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateLocked()
	var refs []worker.TaskRef
	for ref, t := range w.tasks {
		if t.status.State == worker.Running {
			refs = append(refs, ref)
		}
	}
	return refs
}

func (w *Worker) clockLocked() int64 { return w.now().Sub(w.started).Milliseconds() }

// updateLocked ends the tasks that are due and enforces the lease. It runs on each access to
// the worker and records each end with the time at which it was due, so the time of the access
// makes no difference. The caller holds w.mu.
func (w *Worker) updateLocked() {
	now := w.now()
	leaseEnd := w.started.Add(time.Duration(w.leaseUntil) * time.Millisecond)
	leaseExpired := w.leaseUntil > 0 && !now.Before(leaseEnd)
	if leaseExpired {
		w.leaseUntil = 0
		w.record.Add(Event{At: leaseEnd, Worker: w.cfg.ID, Type: LeaseExpired})
	}
	for _, t := range w.tasks {
		due := !t.endsAt.IsZero() && !now.Before(t.endsAt)
		switch {
		case t.status.State != worker.Running:
		case due && !(leaseExpired && leaseEnd.Before(t.endsAt)):
			w.endLocked(t, t.ends, "", t.endsAt)
		case leaseExpired:
			w.endLocked(t, worker.Stopped, "lease lapsed", leaseEnd)
		case t.draining && len(w.requests) == 0:
			w.endLocked(t, worker.Stopped, "drained", now)
		}
	}
}

func (w *Worker) endLocked(t *task, state worker.TaskState, reason string, at time.Time) {
	if t.status.State != worker.Running {
		return
	}
	w.touchLocked(t)
	t.status.State = state
	t.status.Reason = reason
	w.used = w.used.Sub(t.status.Need)
	w.record.Add(Event{At: at, Worker: w.cfg.ID, Type: TaskEnded, Task: taskName(t.status.Ref), Attempt: t.status.Ref.Attempt})
}

// touchLocked marks a task as changed. The caller holds w.mu.
func (w *Worker) touchLocked(t *task) {
	w.version++
	t.changed = w.version
}
