package planner_test

import (
	"slices"
	"time"

	"gentianstand/internal/placement/cluster"
)

// mixTask is one started task.
type mixTask struct {
	job, index int
	submitted  time.Duration
	started    time.Duration
	ends       time.Duration
	node       int
	left       time.Duration
}

// mixSite executes a stream with one scheduler and measures waiting times and
// utilization.
type mixSite struct {
	user    mixUser
	stream  mixStream
	cluster *cluster.Cluster
	running map[[2]int]*mixTask
	waits   map[string][]time.Duration
	started map[[2]int]bool
	// busy is the core-seconds used while work was waiting; open is the
	// core-seconds available in that time.
	busy, open float64
}

func newMixSite(u mixUser, stream mixStream) *mixSite {
	return &mixSite{
		user: u, stream: stream, running: map[[2]int]*mixTask{}, started: map[[2]int]bool{},
		waits: map[string][]time.Duration{},
	}
}

func (s *mixSite) class(job int) string {
	w := s.stream.workloads[s.stream.jobs[job].workload]
	if w.Kind == "job" {
		return "gang"
	}
	return string(w.Urgency)
}

// start records the start of a task. Only the first start of each task counts
// towards waiting time.
func (s *mixSite) start(t *mixTask, now time.Duration) {
	t.started, t.ends = now, now+t.left
	key := [2]int{t.job, t.index}
	s.running[key] = t
	if !s.started[key] {
		s.started[key] = true
		wait := now - t.submitted
		s.waits[s.class(t.job)] = append(s.waits[s.class(t.job)], wait)
		s.waits["all"] = append(s.waits["all"], wait)
	}
}

// measure adds one tick to the utilization figures.
func (s *mixSite) measure(waiting bool) {
	if !waiting {
		return
	}
	for _, t := range s.running {
		s.busy += float64(s.stream.workloads[s.stream.jobs[t.job].workload].Need.MilliCPU) / 1000
	}
	s.open += float64(s.user.workers) * float64(s.user.capacity.MilliCPU) / 1000
}

// mixResult holds the measurements of one scheduler on a stream.
type mixResult struct {
	p99    map[string]time.Duration
	mean   map[string]time.Duration
	packed float64
}

func (s *mixSite) result() mixResult {
	r := mixResult{p99: map[string]time.Duration{}, mean: map[string]time.Duration{}, packed: s.busy / max(s.open, 1)}
	for class, waits := range s.waits {
		slices.Sort(waits)
		r.p99[class] = waits[len(waits)*99/100]
		var sum time.Duration
		for _, w := range waits {
			sum += w
		}
		r.mean[class] = sum / time.Duration(len(waits))
	}
	return r
}
