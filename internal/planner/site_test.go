package planner_test

import (
	"fmt"
	"testing"
	"time"

	"gentianstand/internal/fleet"
	"gentianstand/internal/planner"
	"gentianstand/internal/resource"
	"gentianstand/internal/run"
	"gentianstand/internal/spec"
	"gentianstand/internal/worker"
)

// site drives a Core step by step. It plays the part of the owners of workers
// and executes orders immediately.
type site struct {
	t        *testing.T
	core     *planner.Core
	now      time.Time
	capacity resource.Amount
	boots    map[string]string
	tasks    map[string]map[worker.TaskRef]worker.TaskStatus
	sequence uint64
	starts   map[string]int
}

func newSite(t *testing.T, workers int, capacity resource.Amount, text string) *site {
	t.Helper()
	parsed, err := spec.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	s := &site{
		t: t, now: time.Unix(10_000, 0), capacity: capacity, boots: map[string]string{},
		tasks: map[string]map[worker.TaskRef]worker.TaskStatus{}, starts: map[string]int{},
	}
	s.core = planner.NewCore(nil, s.now)
	s.core.CheckRecovery(nil, nil)
	for n := range workers {
		id := fmt.Sprintf("w%d", n)
		s.boots[id] = "boot"
		s.tasks[id] = map[worker.TaskRef]worker.TaskStatus{}
		s.report(id, fleet.Ready)
	}
	s.core.Apply(1, parsed, "test", s.now)
	return s
}

func (s *site) report(id string, state fleet.WorkerState) {
	s.sequence++
	var n int
	_, _ = fmt.Sscanf(id, "w%d", &n)
	r := fleet.Report{
		Worker: id, Shard: fmt.Sprintf("k%d", n/2), Epoch: 1, Sequence: s.sequence, Region: "r", Zone: fmt.Sprintf("z%d", n/4),
		Rack: fmt.Sprintf("k%d", n/2), Capacity: s.capacity, State: state, Boot: s.boots[id],
	}
	if state == fleet.Lost {
		s.tasks[id] = map[worker.TaskRef]worker.TaskStatus{}
	}
	for _, status := range s.tasks[id] {
		r.Tasks = append(r.Tasks, status)
	}
	s.core.Report(r, s.now)
}

// step runs one decision and one write of the Core and executes its orders.
func (s *site) step() {
	s.t.Helper()
	s.now = s.now.Add(100 * time.Millisecond)
	s.core.Decide(s.now, false)
	batch, err := s.core.Changes()
	if err != nil {
		s.t.Fatal(err)
	}
	s.core.Committed(batch)
	for _, a := range s.core.Outbox() {
		s.execute(a)
		s.report(a.Worker, fleet.Ready)
	}
}

func (s *site) steps(n int) {
	for range n {
		s.step()
	}
}

func (s *site) execute(a fleet.Assignment) {
	tasks := s.tasks[a.Worker]
	for _, ref := range a.Ack {
		delete(tasks, ref)
	}
	for _, stop := range a.Stop {
		status, ok := tasks[stop.Ref]
		switch {
		case !ok:
			tasks[stop.Ref] = worker.TaskStatus{Ref: stop.Ref, State: worker.Refused}
		case status.State == worker.Running && stop.Action != worker.Throttle:
			status.State = worker.Stopped
			tasks[stop.Ref] = status
		}
	}
	for _, start := range a.Start {
		if _, known := tasks[start.Ref]; known {
			continue
		}
		tasks[start.Ref] = worker.TaskStatus{Ref: start.Ref, Workload: start.Workload, Need: start.Need, Used: start.Need, Service: start.Service, State: worker.Running}
		s.starts[fmt.Sprintf("%s/%d", start.Ref.Run, start.Ref.Index)]++
	}
	s.checkCapacity(a.Worker)
}

func (s *site) checkCapacity(id string) {
	s.t.Helper()
	var used resource.Amount
	for _, status := range s.tasks[id] {
		if status.State == worker.Running {
			used = used.Add(status.Need)
		}
	}
	if !used.Fits(s.capacity) {
		s.t.Fatalf("worker %s is overcommitted: %s", id, used)
	}
}

// end ends the running tasks of a workload that pick selects, or all if pick is
// nil.
func (s *site) end(workload string, state worker.TaskState, pick func(worker string, ref worker.TaskRef) bool) {
	for id, tasks := range s.tasks {
		changed := false
		for ref, status := range tasks {
			if status.Workload == workload && status.State == worker.Running && (pick == nil || pick(id, ref)) {
				status.State = state
				tasks[ref] = status
				changed = true
			}
		}
		if changed {
			s.report(id, fleet.Ready)
		}
	}
}

func (s *site) running(workload string) int {
	n := 0
	for _, tasks := range s.tasks {
		for _, status := range tasks {
			if status.Workload == workload && status.State == worker.Running {
				n++
			}
		}
	}
	return n
}

func (s *site) summary(workload string) planner.Summary {
	s.t.Helper()
	for _, sum := range s.core.Summaries() {
		if sum.Workload == workload {
			return sum
		}
	}
	s.t.Fatalf("%s has no run", workload)
	return planner.Summary{}
}

func (s *site) expectRunning(workload string, want int) {
	s.t.Helper()
	if got := s.running(workload); got != want {
		s.t.Fatalf("%d tasks of %s running, want %d (%+v)", got, workload, want, s.summary(workload))
	}
}

func (s *site) expectState(workload string, want run.State) {
	s.t.Helper()
	if got := s.summary(workload); got.State != want {
		s.t.Fatalf("%s is %s (%s), want %s", workload, got.State, got.Reason, want)
	}
}

func (s *site) apply(number uint64, text string) {
	s.t.Helper()
	parsed, err := spec.Parse(text)
	if err != nil {
		s.t.Fatal(err)
	}
	s.core.Apply(number, parsed, "test", s.now)
}
