package cell

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/advice"
	"gentianstand/internal/job"
	"gentianstand/internal/resource"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// site drives a cell step by step. It simulates the workers, the adviser, the store and the clock,
// each only when a test calls it.
type site struct {
	t     *testing.T
	cell  *Cell
	now   time.Time
	clock map[string]time.Duration
	// incarnations holds the incarnations of restarted workers, by worker.
	incarnations map[string]runner.Incarnation
	ends         map[string][]runner.End
	runs         map[string][]runner.RunState
	// chunks holds the known workers as stored.
	chunks map[int][]KnownWorker
	// slots is the number of advice slots passed to Plan.
	slots AdviceSlots
	// orders holds the orders of the last planning pass.
	orders []Order
}

var siteStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSite(t *testing.T, term uint64, workers ...roster.Worker) *site {
	return newSiteWith(t, Settings{Term: term, Lease: 3500 * time.Millisecond, StopGrace: 900 * time.Millisecond}, workers...)
}

func newSiteWith(t *testing.T, settings Settings, workers ...roster.Worker) *site {
	s := &site{t: t, now: siteStart, clock: map[string]time.Duration{}, incarnations: map[string]runner.Incarnation{}, ends: map[string][]runner.End{},
		runs: map[string][]runner.RunState{}, chunks: map[int][]KnownWorker{}, slots: AdviceSlots{Quick: 2, Any: 4}}
	s.cell = New(settings, s.now, quietLog())
	s.cell.SetRoster(workers, s.now)
	s.commit()
	return s
}

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// usualWorker returns a worker with 16 cores and 32 GiB.
func usualWorker(id string) roster.Worker {
	return roster.Worker{ID: id, Incarnation: runner.Incarnation(siteStart.UnixMilli()), Address: id + ":1", Service: "desk", Capacity: resource.Amount{MilliCPU: 16000, MemoryMiB: 32768}, Labels: []string{"a", "r1"}, Rack: "r1"}
}

// record returns a job of the usual queue with the given steps.
func (s *site) record(n int, steps ...job.Step) *job.Record {
	return &job.Record{ID: fmt.Sprintf("%016x", n), Queue: "q", Service: "desk", MaxAttempts: 3, Stretch: 2,
		Target: time.Second, AcceptedAt: s.now, Steps: steps}
}

// step returns a step whose tasks need one core each.
func step(count int) job.Step {
	return job.Step{Count: count, Need: resource.Amount{MilliCPU: 1000, MemoryMiB: 100}, Estimate: time.Second}
}

func (s *site) advance(d time.Duration) { s.now = s.now.Add(d) }

// report has a worker answer a poll with the contents of runs and ends.
func (s *site) report(id string) {
	s.t.Helper()
	sentAt := s.now
	_, poll, ok := s.cell.NextPoll(id, sentAt)
	if !ok {
		s.t.Fatalf("worker %s is unknown", id)
	}
	var left []runner.End
	for _, e := range s.ends[id] {
		if e.Sequence > poll.Acknowledged {
			left = append(left, e)
		}
	}
	s.ends[id] = left
	s.advance(time.Millisecond)
	clock := s.now.Sub(siteStart) + time.Hour
	s.cell.Reported(id, runner.Report{Incarnation: s.incarnations[id], Clock: clock, Running: s.runs[id], Ended: left}, sentAt, s.now)
}

// plan runs a planning pass and returns the start orders by task name.
func (s *site) plan() map[string]StartOrder {
	s.orders = s.cell.Plan(s.now, s.slots)
	starts := map[string]StartOrder{}
	for _, o := range s.orders {
		if start, ok := o.(StartOrder); ok {
			starts[start.Start.Task] = start
		}
	}
	return starts
}

// confirm answers a start and has the worker report the run.
func (s *site) confirm(o StartOrder) {
	s.cell.StartAnswered(o, runner.Answer{}, nil, s.now)
	s.runs[o.Worker.ID] = append(s.runs[o.Worker.ID], runner.RunState{Task: o.Start.Task, Run: o.Start.Run, Percent: 1})
}

// finish ends a run on its worker.
func (s *site) finish(o StartOrder, kind runner.EndKind) {
	s.end(o.Worker.ID, o.Start.Task, o.Start.Run, kind)
}

func (s *site) end(worker, task string, run uint64, kind runner.EndKind) {
	var left []runner.RunState
	for _, r := range s.runs[worker] {
		if r.Task != task || r.Run != run {
			left = append(left, r)
		}
	}
	s.runs[worker] = left
	s.ends[worker] = append(s.ends[worker], runner.End{Sequence: uint64(len(s.ends[worker]) + 1), Task: task, Run: run, Kind: kind})
}

// commit stores all changed progress and keeps the known workers for the next owner.
func (s *site) commit() {
	for commit := s.cell.NextCommit(40); commit != nil; commit = s.cell.NextCommit(40) {
		for _, chunk := range commit.Chunks {
			s.chunks[chunk.Number] = chunk.Workers
		}
		s.cell.Committed(commit)
	}
}

// advise answers every request for advice of the last pass with tickets for the given workers.
func (s *site) advise(allowed ...string) {
	for _, o := range s.orders {
		if ask, ok := o.(AdviceOrder); ok {
			var tickets []advice.Ticket
			for _, id := range allowed {
				tickets = append(tickets, advice.Ticket{Worker: id, Text: "ticket-" + id})
			}
			s.cell.AdviceAnswered(ask.Stage, ask.Workers, tickets, nil, s.now)
		}
	}
}
