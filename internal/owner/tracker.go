package owner

import (
	"errors"
	"slices"
	"time"

	"gentianstand/internal/fleet"
	"gentianstand/internal/membership"
	"gentianstand/internal/resource"
	"gentianstand/internal/worker"
)

// silentAfter is how long a worker may miss its calls before it gets no new
// work.
const silentAfter = 2500 * time.Millisecond

// Tracker is what an owner knows of one worker. It is not safe for concurrent
// use and has no clock.
type Tracker struct {
	site   Site
	owner  string
	timing membership.Timing

	state    fleet.WorkerState
	stale    bool
	seq      uint64
	boot     string
	version  uint64
	capacity resource.Amount
	slots    int
	older    int
	// stamp is the worker's clock in its last reply, received at stampAt.
	stamp   int64
	stampAt time.Time
	// oldLeasesEnd is when leases of earlier owners have lapsed.
	oldLeasesEnd time.Time

	tasks map[worker.TaskRef]worker.TaskStatus
	start map[worker.TaskRef]worker.TaskStart
	stop  map[worker.TaskRef]worker.TaskStop
	ack   map[worker.TaskRef]bool
	sent  worker.SyncRequest
}

// NewTracker returns the tracker of a worker that has not been claimed yet.
func NewTracker(site Site, owner string, timing membership.Timing, oldLeasesEnd time.Time) *Tracker {
	t := &Tracker{site: site, owner: owner, timing: timing, state: fleet.Claiming, oldLeasesEnd: oldLeasesEnd}
	t.forget()
	return t
}

func (t *Tracker) forget() {
	t.tasks = map[worker.TaskRef]worker.TaskStatus{}
	t.start = map[worker.TaskRef]worker.TaskStart{}
	t.stop = map[worker.TaskRef]worker.TaskStop{}
	t.ack = map[worker.TaskRef]bool{}
	t.version = 0
}

// SetOldLeasesEnd moves the time after which earlier owners' leases are gone.
func (t *Tracker) SetOldLeasesEnd(end time.Time) { t.oldLeasesEnd = end }

// State returns the worker's state.
func (t *Tracker) State() fleet.WorkerState { return t.state }

// Stale reports whether a later owner has claimed the worker.
func (t *Tracker) Stale() bool { return t.stale }

// Next returns the next message to the worker. The lease it asks for is
// counted from the worker's own clock in its last reply, so it ends at most
// WorkerLease after that reply was received, however late this arrives.
func (t *Tracker) Next(doubt []string) worker.SyncRequest {
	t.seq++
	req := worker.SyncRequest{
		Owner: t.owner, Epoch: t.site.Epoch, Seq: t.seq, Boot: t.boot, Since: t.version, Doubt: doubt,
	}
	if t.boot != "" {
		req.LeaseUntil = t.stamp + t.timing.WorkerLease.Milliseconds()
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

// Replied takes in the answer to the message that Next returned last, and
// reports whether anything changed that the planner should hear of.
func (t *Tracker) Replied(reply worker.SyncReply, receivedAt time.Time) bool {
	changed := t.state != fleet.Ready || t.capacity != reply.Capacity || len(reply.Tasks) > 0
	if t.boot != reply.Boot {
		changed = true
		t.rebooted(reply.Boot)
	}
	t.state = fleet.Ready
	t.capacity, t.slots, t.older = reply.Capacity, reply.Slots, reply.OlderRequests
	t.stamp, t.stampAt = reply.Now, receivedAt
	t.version = reply.Version
	for _, status := range reply.Tasks {
		t.tasks[status.Ref] = status
	}
	t.delivered()
	return changed
}

// rebooted drops what was known of the worker's previous process: nothing of
// it runs any more, and starts meant for it must not reach its successor.
func (t *Tracker) rebooted(boot string) {
	t.forget()
	t.boot = boot
}

// delivered removes what the answered message carried from the queues.
func (t *Tracker) delivered() {
	if t.sent.Boot != t.boot {
		return
	}
	for _, stop := range t.sent.Stop {
		t.stopDelivered(stop)
	}
	for _, start := range t.sent.Start {
		delete(t.start, start.Ref)
	}
	for _, ref := range t.sent.Ack {
		delete(t.ack, ref)
		delete(t.tasks, ref)
	}
}

// stopDelivered keeps a stop until the task has ended. A worker applies stops
// before starts, so a stop that travelled together with its own start must be
// sent once more.
func (t *Tracker) stopDelivered(stop worker.TaskStop) {
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

// Failed takes in that the last message got no answer, and reports whether
// the state changed.
func (t *Tracker) Failed(err error, now time.Time, mayAct bool) bool {
	if errors.Is(err, worker.ErrStaleEpoch) {
		t.stale = true
		return true
	}
	return t.Tick(now, mayAct)
}

// Tick moves a worker that does not answer to Silent and then to Lost, and
// reports whether the state changed.
//
// Lost means that nothing can run there: no lease of this owner or an earlier
// one is still running. Starting its tasks elsewhere any sooner could make a
// task run in two places.
//
// An owner without the right to act cannot say Lost: it may have been
// overtaken, and the leases of later owners are not known to it. Before this
// was checked, an owner that woke after a freeze reported a worker as lost
// which its successor kept running.
func (t *Tracker) Tick(now time.Time, mayAct bool) bool {
	before := t.state
	switch {
	case t.state == fleet.Lost:
	case mayAct && !now.Before(t.leasesEnd()):
		t.state = fleet.Lost
		t.forget()
	case t.state == fleet.Ready && now.Sub(t.stampAt) >= silentAfter:
		t.state = fleet.Silent
	}
	return t.state != before
}

func (t *Tracker) leasesEnd() time.Time {
	end := t.oldLeasesEnd
	if t.stampAt.IsZero() {
		return end
	}
	if own := t.stampAt.Add(t.timing.Longer(t.timing.WorkerLease)); own.After(end) {
		return own
	}
	return end
}

// Used returns what the worker's running and assigned tasks need.
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

// Assign queues what the planner decided and reports whether anything is to
// be sent. The owner checks each start again: the planner may have decided on
// an older picture, or be one that was overtaken, and must not oversell the
// worker in either case. A start that is refused is reported as such.
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
// worker may have seen it.
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

// Acknowledge notes that the end of an attempt is kept by the planner.
func (t *Tracker) Acknowledge(ref worker.TaskRef) {
	status, ok := t.tasks[ref]
	if !ok || !status.State.Ended() {
		return
	}
	t.ack[ref] = true
}

// Report returns the owner's word on the worker.
func (t *Tracker) Report() fleet.Report {
	inst := t.site.Instance
	r := fleet.Report{
		Worker: inst.ID, Shard: t.site.Shard, Epoch: t.site.Epoch,
		Region: inst.Region, Zone: inst.Zone, Rack: inst.Rack,
		Capacity: t.capacity, State: t.state, Draining: inst.Leaving, Boot: t.boot,
	}
	for _, status := range t.tasks {
		r.Tasks = append(r.Tasks, status)
	}
	for ref, start := range t.start {
		if _, known := t.tasks[ref]; !known {
			r.Tasks = append(r.Tasks, worker.TaskStatus{Ref: ref, Workload: start.Workload, Need: start.Need, Service: start.Service, State: worker.Running})
		}
	}
	return r
}

// Services returns the names of the services with a running replica.
func (t *Tracker) Services() []string {
	var names []string
	for _, status := range t.tasks {
		_, stopping := t.stop[status.Ref]
		if status.Service && status.State == worker.Running && !stopping {
			names = append(names, status.Workload)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Waiting reports whether there is something to send before the next beat.
func (t *Tracker) Waiting() bool {
	return t.state == fleet.Claiming || len(t.start)+len(t.stop) > 0
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
