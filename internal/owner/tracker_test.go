package owner

import (
	"context"
	"errors"
	"testing"
	"time"

	"gentianstand/internal/fleet"
	"gentianstand/internal/membership"
	"gentianstand/internal/platform"
	"gentianstand/internal/resource"
	standworker "gentianstand/internal/standin/worker"
	"gentianstand/internal/worker"
)

// rig is a simulated worker under a controlled clock.
type rig struct {
	t      *testing.T
	now    time.Time
	record *standworker.Record
	worker *standworker.Worker
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, now: time.Unix(1000, 0), record: &standworker.Record{}}
	cfg := standworker.Config{ID: "w", Slots: 8, Work: time.Minute, Capacity: resource.Amount{MilliCPU: 4000, MemoryMiB: 4096}}
	r.worker = standworker.New(cfg, r.record, func() time.Time { return r.now })
	return r
}

// owner returns a Tracker that has claimed the worker under an epoch.
func (r *rig) owner(epoch uint64) *Tracker {
	r.t.Helper()
	owned := OwnedWorker{Instance: platform.Instance{ID: "w"}, Shard: "rack", Epoch: epoch}
	tr := NewTracker(owned, "owner", membership.DefaultTiming(), r.now)
	r.deliver(tr, tr.NextRequest(nil))
	return tr
}

// deliver sends a message to the worker and passes the reply back.
func (r *rig) deliver(tr *Tracker, req worker.SyncRequest) error {
	reply, err := r.worker.Sync(context.Background(), req)
	if err != nil {
		tr.HandleFailure(err, r.now, true)
		return err
	}
	tr.HandleReply(reply, r.now)
	return nil
}

func (r *rig) order(tr *Tracker, index, attempt int, cpu int64) {
	ref := worker.TaskRef{Run: "r", Index: index, Attempt: attempt}
	start := worker.TaskStart{Ref: ref, Workload: "x", Need: resource.Amount{MilliCPU: cpu, MemoryMiB: 1}}
	tr.Assign(fleet.Assignment{Worker: "w", Boot: tr.boot, Start: []worker.TaskStart{start}})
}

func (r *rig) expectRunning(want int) {
	r.t.Helper()
	if got := len(r.worker.RunningTasks()); got != want {
		r.t.Fatalf("%d tasks are running, want %d", got, want)
	}
	if broken := standworker.Violations(r.record.Events()); len(broken) > 0 {
		r.t.Fatalf("violations: %v", broken)
	}
}

// Guards against a delayed start from a superseded owner, which would run a
// task that is no longer wanted.
func TestLateStartOfSupersededOwner(t *testing.T) {
	r := newRig(t)
	old := r.owner(1)
	for range 5 {
		_ = r.deliver(old, old.NextRequest(nil))
	}
	r.order(old, 0, 1, 1000)
	late := old.NextRequest(nil)
	r.owner(2)
	if err := r.deliver(old, late); !errors.Is(err, worker.ErrStaleEpoch) {
		t.Errorf("late message: got %v, want ErrStaleEpoch", err)
	}
	if !old.Superseded() {
		t.Error("the previous owner is not marked as superseded")
	}
	r.expectRunning(0)
}

// Guards against a delayed message that starts a completed task again.
func TestLateMessageOfSameOwner(t *testing.T) {
	r := newRig(t)
	tr := r.owner(1)
	r.order(tr, 0, 1, 1000)
	late := tr.NextRequest(nil)
	_ = r.deliver(tr, tr.NextRequest(nil))
	r.now = r.now.Add(5 * time.Second)
	_ = r.deliver(tr, tr.NextRequest(nil))
	tr.Assign(fleet.Assignment{Boot: tr.boot, Stop: []worker.TaskStop{{Ref: late.Start[0].Ref, Action: worker.Kill}}})
	_ = r.deliver(tr, tr.NextRequest(nil))
	tr.Acknowledge(late.Start[0].Ref)
	_ = r.deliver(tr, tr.NextRequest(nil))
	_ = r.deliver(tr, late)
	r.expectRunning(0)
}

// Guards against a delayed message that extends a lease, so that tasks run on
// after the lease has expired.
func TestLateMessageDoesNotExtendLease(t *testing.T) {
	r := newRig(t)
	tr := r.owner(1)
	r.order(tr, 0, 1, 1000)
	_ = r.deliver(tr, tr.NextRequest(nil))
	r.expectRunning(1)
	late := tr.NextRequest(nil)
	lease := membership.DefaultTiming().WorkerLease
	r.now = r.now.Add(lease - time.Millisecond)
	r.expectRunning(1)
	r.now = r.now.Add(time.Second)
	_ = r.deliver(tr, late)
	r.expectRunning(0)
}

// TestLostOnlyAfterLeases: a worker that stops answering is first Silent, and
// Lost only once no lease can be running, and only to an owner that may act.
func TestLostOnlyAfterLeases(t *testing.T) {
	r := newRig(t)
	timing := membership.DefaultTiming()
	tr := r.owner(1)
	r.order(tr, 0, 1, 1000)
	_ = r.deliver(tr, tr.NextRequest(nil))
	started := r.now
	for r.now.Before(started.Add(timing.Longer(timing.WorkerLease))) {
		tr.Tick(r.now, true)
		if tr.State() == fleet.Lost {
			t.Fatalf("Lost after only %s", r.now.Sub(started))
		}
		r.now = r.now.Add(100 * time.Millisecond)
	}
	tr.Tick(r.now, false)
	if tr.State() != fleet.Unresponsive {
		t.Fatalf("state %s without the right to act, want silent", tr.State())
	}
	tr.Tick(r.now, true)
	if tr.State() != fleet.Lost {
		t.Fatalf("state %s, want lost", tr.State())
	}
	r.expectRunning(0)
}

// TestNewOwnerWaitsForOldLeases: a worker that a new owner cannot reach is lost
// only when the leases of previous owners have expired.
func TestNewOwnerWaitsForOldLeases(t *testing.T) {
	now := time.Unix(1000, 0)
	tr := NewTracker(OwnedWorker{Epoch: 2}, "o", membership.DefaultTiming(), now.Add(time.Minute))
	tr.Tick(now.Add(59*time.Second), true)
	if tr.State() == fleet.Lost {
		t.Error("Lost before the leases of previous owners have expired")
	}
	tr.Tick(now.Add(time.Minute), true)
	if tr.State() != fleet.Lost {
		t.Errorf("state %s, want lost", tr.State())
	}
}

// TestOwnerChecksCapacity: an owner refuses starts that exceed its worker's
// free capacity, whatever the planner assigned.
func TestOwnerChecksCapacity(t *testing.T) {
	r := newRig(t)
	tr := r.owner(1)
	for i := range 6 {
		r.order(tr, i, 1, 1000)
	}
	_ = r.deliver(tr, tr.NextRequest(nil))
	r.expectRunning(4)
	refused := 0
	for _, status := range tr.Report().Tasks {
		if status.State == worker.Refused {
			refused++
		}
	}
	if refused != 2 {
		t.Errorf("%d starts refused, want 2", refused)
	}
}

// TestStopSentWithItsStart: a stop that reaches the worker in the same message
// as its start still ends the task.
func TestStopSentWithItsStart(t *testing.T) {
	r := newRig(t)
	tr := r.owner(1)
	r.order(tr, 0, 1, 1000)
	ref := worker.TaskRef{Run: "r", Index: 0, Attempt: 1}
	tr.NextRequest(nil) // not delivered
	tr.Assign(fleet.Assignment{Boot: tr.boot, Stop: []worker.TaskStop{{Ref: ref, Action: worker.Kill}}})
	for range 3 {
		_ = r.deliver(tr, tr.NextRequest(nil))
	}
	r.expectRunning(0)
}

// TestRestartedWorkerDropsStarts: starts meant for a worker's previous process
// do not reach the new one.
func TestRestartedWorkerDropsStarts(t *testing.T) {
	r := newRig(t)
	tr := r.owner(1)
	r.order(tr, 0, 1, 1000)
	req := tr.NextRequest(nil)
	r.worker.Restart()
	_ = r.deliver(tr, req)
	r.expectRunning(0)
	_ = r.deliver(tr, tr.NextRequest(nil))
	r.expectRunning(0)
}
