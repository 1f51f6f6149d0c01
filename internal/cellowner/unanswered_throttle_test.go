package cellowner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gentianstand/internal/cell"
	"gentianstand/internal/job"
	"gentianstand/internal/resource"
	"gentianstand/internal/runner"
)

// pacedWorker runs a task that misses its response times beside a best-effort one, and answers no throttle
// order.
type pacedWorker struct{ lossyWorker }

func (w *pacedWorker) Start(_ context.Context, _ runner.Target, s runner.Start) (runner.Answer, error) {
	w.running = append(w.running, runner.RunState{Task: s.Task, Run: s.Run, Percent: 100, Gauge: 1000})
	return runner.Answer{}, nil
}

func (w *pacedWorker) Throttle(ctx context.Context, _ runner.Target, _ runner.Throttle) (runner.Answer, error) {
	<-ctx.Done()
	return runner.Answer{}, runner.ErrNoAnswer
}

// throttleOrder polls the worker, carries out the starts of the next planning pass, and returns its
// throttle order, if any.
func (w *pacedWorker) throttleOrder(t *testing.T, o *Owner) (order cell.ThrottleOrder, ok bool) {
	t.Helper()
	sentAt := time.Now()
	report, err := w.Poll(t.Context(), runner.Target{}, runner.Poll{})
	if err != nil {
		t.Fatal(err)
	}
	o.cell.Reported("w", report, sentAt, time.Now())
	for _, next := range o.cell.Plan(time.Now(), cell.AdviceSlots{}) {
		switch next := next.(type) {
		case cell.StartOrder:
			o.start(t.Context(), next)
		case cell.ThrottleOrder:
			order, ok = next, true
		}
	}
	return order, ok
}

// Guards against a best-effort task that disturbs its neighbours for good, or stays suspended, because a
// throttle order got lost on a connection that is silent and the owner waits for its answer.
func TestThrottleOrderWithoutAnAnswerIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &pacedWorker{}
		o := ownerBeforeItsPlan(t, worker)
		need := resource.Amount{MilliCPU: 100, MemoryMiB: 10}
		o.cell.Add(&job.Record{ID: "00000000000000bb", Queue: "q", Service: "desk", MaxAttempts: 1, AcceptedAt: time.Now(), Steps: []job.Step{
			{Count: 1, Need: need, Estimate: time.Minute, LongRunning: true, TailLatencyTarget: 100 * time.Millisecond},
			{Count: 1, Need: need, Estimate: time.Minute, BestEffort: true},
		}}, true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		for sent := 0; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
			order, ok := worker.throttleOrder(t, o)
			if !ok {
				continue
			}
			if sent++; sent == 3 {
				return
			}
			o.throttle(ctx, order)
		}
		t.Error("a throttle order without an answer is not sent again")
	})
}
