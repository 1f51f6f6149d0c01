package owner

import (
	"errors"
	"time"

	"gentianstand/internal/fleet"
	"gentianstand/internal/membership"
	"gentianstand/internal/resource"
	"gentianstand/internal/worker"
)

// unresponsiveAfter is how long a worker may go without answering before it
// gets no new work.
const unresponsiveAfter = 2500 * time.Millisecond

// Tracker holds an owner's state of one worker. It is not safe for concurrent
// use and has no clock.
type Tracker struct {
	owned  OwnedWorker
	owner  string
	timing membership.Timing

	state      fleet.WorkerState
	superseded bool
	seq        uint64
	boot       string
	version    uint64
	capacity   resource.Amount
	slots      int
	older      int
	// workerClock is the worker's clock reading in its last reply, which was
	// received at lastReplyAt.
	workerClock int64
	lastReplyAt time.Time
	// oldLeasesEnd is when all leases of previous owners have expired.
	oldLeasesEnd time.Time

	tasks map[worker.TaskRef]worker.TaskStatus
	start map[worker.TaskRef]worker.TaskStart
	stop  map[worker.TaskRef]worker.TaskStop
	ack   map[worker.TaskRef]bool
	sent  worker.SyncRequest
}

// NewTracker returns the Tracker of a worker that has not been claimed yet.
func NewTracker(owned OwnedWorker, owner string, timing membership.Timing, oldLeasesEnd time.Time) *Tracker {
	t := &Tracker{owned: owned, owner: owner, timing: timing, state: fleet.Claiming, oldLeasesEnd: oldLeasesEnd}
	t.reset()
	return t
}

func (t *Tracker) reset() {
	t.tasks = map[worker.TaskRef]worker.TaskStatus{}
	t.start = map[worker.TaskRef]worker.TaskStart{}
	t.stop = map[worker.TaskRef]worker.TaskStop{}
	t.ack = map[worker.TaskRef]bool{}
	t.version = 0
}

// SetOldLeasesEnd sets the time at which all leases of previous owners have
// expired.
func (t *Tracker) SetOldLeasesEnd(end time.Time) { t.oldLeasesEnd = end }

// State returns the worker's state.
func (t *Tracker) State() fleet.WorkerState { return t.state }

// Superseded reports whether a later owner has claimed the worker.
func (t *Tracker) Superseded() bool { return t.superseded }

// NextRequest returns the next message to the worker. The lease it requests is
// counted from the worker's own clock in its last reply, so it ends at most
// WorkerLease after that reply was received, however late the message arrives.
func (t *Tracker) NextRequest(unanswered []string) worker.SyncRequest {
	t.seq++
	req := worker.SyncRequest{
		Owner: t.owner, Epoch: t.owned.Epoch, Seq: t.seq, Boot: t.boot, Since: t.version, UnconfirmedRequests: unanswered,
	}
	if t.boot != "" {
		req.LeaseUntil = t.workerClock + t.timing.WorkerLease.Milliseconds()
		req.Start = sortedStarts(t.start)
		for ref := range t.ack {
			req.Ack = append(req.Ack, ref)
		}
		for _, stop := range t.stop {
			req.Stop = append(req.Stop, stop)
		}
	}
	t.sent = req
	return req
}

// HandleReply handles the reply to the last message from NextRequest. It
// returns whether anything changed that has to be reported to the planner.
func (t *Tracker) HandleReply(reply worker.SyncReply, receivedAt time.Time) bool {
	changed := t.state != fleet.Ready || t.capacity != reply.Capacity || len(reply.Tasks) > 0
	if t.boot != reply.Boot {
		changed = true
		t.workerRestarted(reply.Boot)
	}
	t.state = fleet.Ready
	t.capacity, t.slots, t.older = reply.Capacity, reply.Slots, reply.OlderRequests
	t.workerClock, t.lastReplyAt = reply.Now, receivedAt
	t.version = reply.Version
	for _, status := range reply.Tasks {
		t.tasks[status.Ref] = status
	}
	t.removeDelivered()
	return changed
}

// workerRestarted discards the state of the worker's previous process. Nothing
// of it runs any more, and starts meant for it must not reach the new process.
func (t *Tracker) workerRestarted(boot string) {
	t.reset()
	t.boot = boot
}

// removeDelivered removes the contents of the answered message from the queues.
func (t *Tracker) removeDelivered() {
	if t.sent.Boot != t.boot {
		return
	}
	for _, stop := range t.sent.Stop {
		t.handleDeliveredStop(stop)
	}
	for _, start := range t.sent.Start {
		delete(t.start, start.Ref)
	}
	for _, ref := range t.sent.Ack {
		delete(t.ack, ref)
		delete(t.tasks, ref)
	}
}

// handleDeliveredStop keeps a stop queued until the task has ended. A worker
// applies stops before starts, so a stop sent in the same message as its start
// must be sent again.
func (t *Tracker) handleDeliveredStop(stop worker.TaskStop) {
	status, known := t.tasks[stop.Ref]
	_, starting := t.start[stop.Ref]
	switch {
	case !known && !starting:
		delete(t.stop, stop.Ref)
		t.tasks[stop.Ref] = worker.TaskStatus{Ref: stop.Ref, State: worker.Refused, Reason: "it was never started"}
	case known && (status.State.Ended() || stop.Action == worker.Throttle):
		delete(t.stop, stop.Ref)
	}
}

// HandleFailure handles a failed call with the last message. It returns whether
// the state changed.
func (t *Tracker) HandleFailure(err error, now time.Time, mayAct bool) bool {
	if errors.Is(err, worker.ErrStaleEpoch) {
		t.superseded = true
		return true
	}
	return t.Tick(now, mayAct)
}

// Tick changes the state of an unresponsive worker to Silent and then to Lost.
// It returns whether the state changed.
//
// Lost means that nothing can be running there: all leases of this owner and of
// previous ones have expired. Starting its tasks elsewhere any earlier could
// run a task in two places.
//
// An owner without the right to act must not declare a worker Lost: it may have
// been superseded and does not know the leases of later owners. Before this
// check, an owner that resumed after a freeze reported a worker as lost that
// its successor kept running.
func (t *Tracker) Tick(now time.Time, mayAct bool) bool {
	before := t.state
	switch {
	case t.state == fleet.Lost:
	case mayAct && !now.Before(t.leasesEnd()):
		t.state = fleet.Lost
		t.reset()
	case t.state == fleet.Ready && now.Sub(t.lastReplyAt) >= unresponsiveAfter:
		t.state = fleet.Unresponsive
	}
	return t.state != before
}

func (t *Tracker) leasesEnd() time.Time {
	end := t.oldLeasesEnd
	if t.lastReplyAt.IsZero() {
		return end
	}
	if own := t.lastReplyAt.Add(t.timing.Longer(t.timing.WorkerLease)); own.After(end) {
		return own
	}
	return end
}
