package owner

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gentianstand/internal/live"
	"gentianstand/internal/ownership"
	"gentianstand/internal/platform"
	"gentianstand/internal/routing"
	"gentianstand/internal/worker"
)

// handedOver is the agent of a worker that serves one service and has received
// no request. Once taken is set, it belongs to a later owner.
type handedOver struct{ taken bool }

func (a *handedOver) Sync(_ context.Context, req worker.SyncRequest) (worker.SyncReply, error) {
	if a.taken {
		return worker.SyncReply{}, worker.ErrStaleEpoch
	}
	status := worker.TaskStatus{Ref: worker.TaskRef{Run: "r"}, Workload: "desk", Service: true, State: worker.Running}
	reply := worker.SyncReply{Boot: "b", Slots: 8, Tasks: []worker.TaskStatus{status}}
	reply.RequestStates, _ = a.QueryRequests(context.Background(), req.UnconfirmedRequests)
	return reply, nil
}

func (a *handedOver) QueryRequests(_ context.Context, ids []string) ([]worker.RequestState, error) {
	states := make([]worker.RequestState, len(ids))
	for i := range states {
		states[i] = worker.RequestRevoked
	}
	return states, nil
}

// Guards against a request that hangs until its deadline of 30 s although the
// worker is healthy. It would happen if nobody asked about it after a handover.
func TestUnresponsiveConnectionAcrossHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &handedOver{}
		o := newTestOwner()
		defer o.quit()
		o.dial = func(string) worker.Agent { return agent }
		o.SetDirectory([]platform.Instance{{ID: "w", Role: platform.RoleWorker, Rack: "rack"}})
		o.SetHeld([]ownership.HeldShard{{Shard: live.Shard{Name: "rack", Epoch: 1}, TakenAt: time.Now()}})
		synctest.Wait()
		req := routing.Request{ID: "q", Deadline: time.Now().Add(time.Minute)}
		g := o.router.TryAcquire(context.Background(), "desk", req, time.Now())
		if g == nil {
			t.Fatal("TryAcquire returned no slot")
		}
		agent.taken = true
		o.SetHeld(nil)
		time.Sleep(unansweredAfter + 2*syncPeriod)
		if cause := context.Cause(g.Context()); !errors.Is(cause, routing.ErrNeverArrived) {
			t.Errorf("cause after the handover: %v, want ErrNeverArrived", cause)
		}
		g.Done(routing.Failed, time.Now())
		time.Sleep(syncPeriod)
	})
}
