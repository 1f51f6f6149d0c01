package planner_test

import (
	"fmt"
	"time"

	"gentianstand/internal/placement/cluster"
	"gentianstand/internal/resource"
)

// baseline is a simple scheduler. It scans the queue in order of arrival,
// places what fits by a single rule and skips the rest.
type baseline struct {
	name string
	// better reports whether worker a is preferred over b.
	better func(a, b *cluster.Node) bool
}

var baselines = []baseline{
	{"firstfit", func(_, _ *cluster.Node) bool { return false }},
	{"bestfit", func(a, b *cluster.Node) bool { return a.Free.MilliCPU < b.Free.MilliCPU }},
	{"leastloaded", func(a, b *cluster.Node) bool { return a.Free.MilliCPU > b.Free.MilliCPU }},
}

func mixNodes(u mixUser) []cluster.Node {
	nodes := make([]cluster.Node, u.workers)
	for i := range nodes {
		rack := i / u.perRack
		nodes[i] = cluster.Node{
			ID: fmt.Sprintf("w%03d", i), Region: "r", Zone: fmt.Sprintf("z%d", rack%4), Rack: fmt.Sprintf("k%d", rack),
			Capacity: u.capacity, Free: u.capacity, FreeForLong: u.capacity,
		}
	}
	return nodes
}

func (b baseline) choose(c *cluster.Cluster, need resource.Amount) int {
	best := -1
	for i := range c.Len() {
		n := c.Node(i)
		if need.Fits(n.Free) && (best < 0 || b.better(n, c.Node(best))) {
			best = i
		}
	}
	return best
}

// run executes the stream with the baseline.
func (b baseline) run(u mixUser, stream mixStream) mixResult {
	s := newMixSite(u, stream)
	s.cluster = cluster.New(mixNodes(u))
	var queue []int
	next := 0
	for now := time.Duration(0); now < mixTimeLimit && (next < len(stream.jobs) || len(queue) > 0 || len(s.running) > 0); now += mixTick {
		for key, t := range s.running {
			if t.ends <= now {
				s.cluster.Release(t.node, "", stream.workloads[stream.jobs[t.job].workload].Need)
				delete(s.running, key)
			}
		}
		for ; next < len(stream.jobs) && stream.jobs[next].at <= now; next++ {
			queue = append(queue, next)
		}
		queue = b.place(s, queue, now)
		s.measure(len(queue) > 0 && now < mixLength)
	}
	return s.result()
}

// place starts queued runs: all tasks of a job or none, and as many tasks of a
// batch as fit. It returns the runs that are not fully started.
func (b baseline) place(s *mixSite, queue []int, now time.Duration) []int {
	var left []int
	for _, job := range queue {
		j := s.stream.jobs[job]
		w := s.stream.workloads[j.workload]
		var placed []*mixTask
		for i, d := range j.tasks {
			if s.started[[2]int{job, i}] {
				continue
			}
			node := b.choose(s.cluster, w.Need)
			if node < 0 {
				break
			}
			s.cluster.Allocate(node, "", w.Need)
			placed = append(placed, &mixTask{job: job, index: i, submitted: j.at, node: node, left: d})
		}
		if w.Kind == "job" && len(placed) < len(j.tasks) {
			for _, t := range placed {
				s.cluster.Release(t.node, "", w.Need)
			}
			placed = nil
		}
		for _, t := range placed {
			s.start(t, now)
		}
		if !s.allStarted(job) {
			left = append(left, job)
		}
	}
	return left
}

func (s *mixSite) allStarted(job int) bool {
	for i := range s.stream.jobs[job].tasks {
		if !s.started[[2]int{job, i}] {
			return false
		}
	}
	return true
}
