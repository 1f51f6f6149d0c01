package cellowner

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/catalog"
	"gentianstand/internal/cell"
	"gentianstand/internal/job"
	"gentianstand/internal/resource"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
	"gentianstand/internal/store"
)

// lossyWorker executes starts, but its first answers get lost.
type lossyWorker struct {
	runner.Client
	lost    int
	starts  []runner.Start
	running []runner.RunState
}

func (l *lossyWorker) Start(_ context.Context, _ runner.Target, s runner.Start) (runner.Answer, error) {
	l.starts = append(l.starts, s)
	if len(l.starts) == 1 {
		l.running = append(l.running, runner.RunState{Task: s.Task, Run: s.Run})
	}
	if len(l.starts) <= l.lost {
		return runner.Answer{}, runner.ErrNoAnswer
	}
	return runner.Answer{}, nil
}

func (l *lossyWorker) Poll(context.Context, runner.Target, runner.Poll) (runner.Report, error) {
	return runner.Report{Clock: time.Minute, Running: l.running}, nil
}

// confirmedLeadership is a leadership that always holds.
type confirmedLeadership struct{}

func (confirmedLeadership) Confirmed() bool   { return true }
func (confirmedLeadership) Superseded(string) {}

// ownerOfOne returns an owner with one task to start on one worker.
func ownerOfOne(t *testing.T, client runner.Client) (*Owner, cell.StartOrder) {
	t.Helper()
	o := ownerBeforeItsPlan(t, client)
	for _, order := range o.cell.Plan(time.Now(), cell.AdviceSlots{}) {
		if start, ok := order.(cell.StartOrder); ok {
			return o, start
		}
	}
	t.Fatal("nothing is started")
	return nil, cell.StartOrder{}
}

// ownerBeforeItsPlan returns an owner whose next planning pass starts one task on one worker.
func ownerBeforeItsPlan(t *testing.T, client runner.Client) *Owner {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	o := New(cell.Settings{Term: 1, Lease: time.Second}, store.Check{},
		Deps{Runner: client, Advisers: &timedAdvisers{}, Catalog: (&catalog.Current{}).Get, Leadership: confirmedLeadership{}, Metrics: NewMetrics(metrics.NewSet()), Log: log})
	worker := roster.Worker{ID: "w", Service: "desk", Capacity: resource.Amount{MilliCPU: 1000, MemoryMiB: 1000}}
	o.cell.SetRoster([]roster.Worker{worker}, time.Now())
	commit := o.cell.NextCommit(1)
	o.cell.Committed(commit)
	sentAt := time.Now()
	report, err := client.Poll(t.Context(), runner.Target{}, runner.Poll{})
	if err != nil {
		t.Fatal(err)
	}
	o.cell.Reported("w", report, sentAt, time.Now())
	o.cell.Add(&job.Record{ID: "00000000000000aa", Queue: "q", Service: "desk", MaxAttempts: 1, AcceptedAt: time.Now(),
		Steps: []job.Step{{Count: 1, Need: resource.Amount{MilliCPU: 500, MemoryMiB: 10}, Estimate: time.Second}}}, true)
	return o
}

// A start without an answer must be repeated: while answers of workers got lost, 1 step in 3 of
// 10 tasks was late.
func TestLostAnswerOfAStart(t *testing.T) {
	client := &lossyWorker{lost: 1}
	o, order := ownerOfOne(t, client)
	o.start(t.Context(), order)
	if len(client.starts) != 2 || client.starts[0].Run != client.starts[1].Run {
		t.Errorf("starts sent: %v, want the same one twice", client.starts)
	}
	if orders := o.cell.Plan(time.Now(), cell.AdviceSlots{}); len(orders) > 0 {
		t.Errorf("orders after the second answer: %v", orders)
	}
}

// decliningWorker receives the first start late, after it has declined the repeat.
type decliningWorker struct{ lossyWorker }

func (d *decliningWorker) Start(_ context.Context, _ runner.Target, s runner.Start) (runner.Answer, error) {
	d.starts = append(d.starts, s)
	if len(d.starts) == 1 {
		return runner.Answer{}, runner.ErrNoAnswer
	}
	d.running = []runner.RunState{{Task: d.starts[0].Task, Run: d.starts[0].Run}}
	return runner.Answer{}, &runner.Refusal{Reason: runner.Unhealthy}
}

// The refusal of a repeat does not prove that the first start had no effect: a restart of the
// task could run it twice.
func TestRefusalOfARepeatIsNoProof(t *testing.T) {
	client := &decliningWorker{}
	o, order := ownerOfOne(t, client)
	o.start(t.Context(), order)
	stopped := false
	for _, wait := range []time.Duration{0, time.Second} {
		for _, next := range o.cell.Plan(time.Now().Add(wait), cell.AdviceSlots{}) {
			switch next := next.(type) {
			case cell.StopOrder:
				stopped = stopped || next.Stop.Run == order.Start.Run
			case cell.StartOrder:
				t.Errorf("started again as run %d while run %d may exist", next.Start.Run, order.Start.Run)
			}
		}
	}
	if !stopped {
		t.Error("the run that may exist is not stopped")
	}
}

// Guards against a task that never runs, or runs twice, because its worker answers no orders.
func TestStartThatIsNeverAnswered(t *testing.T) {
	client := &lossyWorker{lost: 100}
	o, order := ownerOfOne(t, client)
	o.start(t.Context(), order)
	if len(client.starts) != 2 {
		t.Errorf("%d starts sent, want 2", len(client.starts))
	}
	stops := 0
	for _, next := range o.cell.Plan(time.Now(), cell.AdviceSlots{}) {
		if stop, ok := next.(cell.StopOrder); ok && stop.Stop.Run == order.Start.Run {
			stops++
		}
	}
	if stops != 1 {
		t.Errorf("%d stops of the run, want 1", stops)
	}
}
