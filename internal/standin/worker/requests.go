package worker

import (
	"time"

	"gentianstand/internal/worker"
	"gentianstand/internal/worker/httpwire"
)

// admit occupies a slot for a request to service, or returns the reason for refusing it.
func (w *Worker) admit(id, key, service string, epoch uint64) (refused string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateLocked()
	switch {
	case epoch < w.epoch:
		w.record.Add(Event{At: w.now(), Worker: w.cfg.ID, Type: RefusedEpoch})
		return httpwire.RefusedEpoch
	case w.revoked[id]:
		return httpwire.RefusedRevoked
	case !w.servesLocked(service):
		return httpwire.RefusedService
	case len(w.requests) >= w.cfg.Slots:
		w.record.Add(Event{At: w.now(), Worker: w.cfg.ID, Type: OverSlots})
		return httpwire.RefusedSlots
	}
	w.requests[id] = epoch
	w.record.Add(Event{At: w.now(), Worker: w.cfg.ID, Type: RequestRan, Key: key, Request: id})
	return ""
}

func (w *Worker) release(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.requests, id)
	w.finished = append(w.finished, id)
	if len(w.finished) > maxFinishedRequests {
		w.finished = w.finished[1:]
	}
	w.updateLocked()
}

// servesLocked reports whether a task of service is running and not draining. The caller
// holds w.mu.
func (w *Worker) servesLocked(service string) bool {
	for _, t := range w.tasks {
		if t.status.Service && t.status.Workload == service && t.status.State == worker.Running && !t.draining {
			return true
		}
	}
	return false
}

func (w *Worker) currentFault() Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault
}

func (w *Worker) serveTime() time.Duration {
	f := w.currentFault()
	if f.ServeMillis > 0 {
		return time.Duration(f.ServeMillis) * time.Millisecond
	}
	return w.cfg.Serve
}
