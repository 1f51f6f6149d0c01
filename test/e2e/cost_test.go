package e2e

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gentianstand/internal/load"
	"gentianstand/internal/platform"
	"gentianstand/internal/resource"
	standplatform "gentianstand/internal/standin/platform"
	standworker "gentianstand/internal/standin/worker"
)

// window is the duration of each measurement, settle the wait before it.
const (
	window = 10 * time.Second
	settle = 4 * time.Second
)

// newCostCluster returns a cluster whose instances are processes and whose workers run in this
// process to save memory.
func newCostCluster(b *testing.B, instances, workers int) *cluster {
	s := newCluster(b, instances, 0, 8)
	record := &standworker.Record{}
	for n := range workers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		w := standworker.New(standworker.Config{
			ID: fmt.Sprintf("worker-%d", n), Slots: 8, Work: time.Second, Serve: time.Millisecond,
			Capacity: resource.Amount{MilliCPU: 16_000, MemoryMiB: 32 << 10},
		}, record, time.Now)
		server := &http.Server{Handler: standworker.NewServer(w, record).Handler()}
		go func() { _ = server.Serve(l) }()
		b.Cleanup(func() { _ = server.Close() })
		rack := n / 8
		s.registerInstance(platform.Instance{
			ID: fmt.Sprintf("worker-%d", n), Role: platform.RoleWorker, Address: l.Addr().String(),
			Region: "r", Zone: fmt.Sprintf("z%d", rack%3), Rack: fmt.Sprintf("rack-%d", rack),
		})
	}
	s.awaitWorkers(workers)
	return s
}

func (s *cluster) awaitWorkers(n int) {
	s.await("all workers owned", func() error {
		owned := 0
		for _, inst := range s.instances {
			owned += s.metric(inst, "gentianstand_workers_owned")
		}
		if owned != n {
			return fmt.Errorf("%d of %d", owned, n)
		}
		return nil
	})
}

// measure runs during and reports the resources that the instances use in the window, for the
// average instance and for the planner, and the load on the table.
func (s *cluster) measure(b *testing.B, during func()) {
	time.Sleep(settle)
	planner := s.planner(s.instances[0])
	before := map[*node]usage{}
	for _, inst := range s.instances {
		before[inst] = inst.usage()
	}
	tableBefore := s.counts()
	started := time.Now()
	during()
	time.Sleep(time.Until(started.Add(window)))
	took := time.Since(started).Seconds()
	var all usage
	for _, inst := range s.instances {
		u, was := inst.usage(), before[inst]
		all.cpuSeconds += u.cpuSeconds - was.cpuSeconds
		all.moved += u.moved - was.moved
		all.rssMiB += u.rssMiB
		if inst == planner {
			b.ReportMetric(100*(u.cpuSeconds-was.cpuSeconds)/took, "planner-cpu-%")
			b.ReportMetric(u.rssMiB, "planner-MiB")
			b.ReportMetric((u.moved-was.moved)/took/1000, "planner-KB/s")
		}
	}
	n := float64(len(s.instances))
	table := s.counts()
	b.ReportMetric(100*all.cpuSeconds/took/n, "cpu-%")
	b.ReportMetric(all.rssMiB/n, "MiB")
	b.ReportMetric(all.moved/took/n/1000, "KB/s")
	b.ReportMetric(float64(table.Reads-tableBefore.Reads)/took, "table-reads/s")
	b.ReportMetric(float64(table.Writes-tableBefore.Writes)/took, "table-writes/s")
	b.ReportMetric(float64(table.Rows-tableBefore.Rows)/took, "table-rows/s")
}

func (s *cluster) counts() standplatform.Counts {
	var c standplatform.Counts
	s.await("counts", func() error { return s.getJSON(s.address, standplatform.PathCounts, &c) })
	return c
}

// BenchmarkCostIdle measures the control cost of an idle system by number of workers and
// instances.
func BenchmarkCostIdle(b *testing.B) {
	for _, size := range []struct{ instances, workers int }{{9, 10}, {9, 50}, {9, 200}, {9, 610}, {3, 50}, {5, 50}} {
		b.Run(fmt.Sprintf("instances=%d/workers=%d", size.instances, size.workers), func(b *testing.B) {
			s := newCostCluster(b, size.instances, size.workers)
			for range b.N {
				s.measure(b, func() {})
			}
		})
	}
}

// BenchmarkCostTasks measures the control cost by number of running tasks, on 610 workers.
func BenchmarkCostTasks(b *testing.B) {
	for _, tasks := range []int{1400, 3500, 7000, 14_000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			s := newCostCluster(b, 9, 610)
			s.apply(s.instances[0], standingText(tasks))
			s.awaitRunning(s.instances[0], "standing-0", tasks/2)
			s.awaitRunning(s.instances[0], "standing-1", tasks/2)
			for range b.N {
				s.measure(b, func() {})
			}
		})
	}
}

// standingText returns a configuration of 2 batches whose tasks run during the whole
// measurement.
func standingText(tasks int) string {
	var text strings.Builder
	text.WriteString("version: 1\nteams:\n  - name: a\n    quota: {cpu: 9000, memory: 20TiB}\nbatches:\n")
	for i := range 2 {
		fmt.Fprintf(&text, "  - name: standing-%d\n    team: a\n    tasks: %d\n    resources: {cpu: 0.25, memory: 256MiB}\n    command: [sleep, 10h]\n", i, tasks/2)
	}
	return text.String()
}

// BenchmarkCostStarts measures the control cost by rate of task starts, with 610 workers and
// 7000 running tasks. Each started task ends 1 second later.
func BenchmarkCostStarts(b *testing.B) {
	for _, rate := range []int{15, 50, 150} {
		b.Run(fmt.Sprintf("starts/s=%d", rate), func(b *testing.B) {
			s := newCostCluster(b, 9, 610)
			s.apply(s.instances[0], standingText(7000)+"  - name: short\n    team: a\n    tasks: 5\n    resources: {cpu: 0.25, memory: 256MiB}\n    command: [sleep, 1s]\n    start: on-submit\n")
			s.awaitRunning(s.instances[0], "standing-0", 3500)
			s.awaitRunning(s.instances[0], "standing-1", 3500)
			for range b.N {
				s.measure(b, func() { s.submitAtRate(b, float64(rate)/5) })
			}
		})
	}
}

func (s *cluster) submitAtRate(b *testing.B, perSecond float64) {
	gap := time.Duration(float64(time.Second) / perSecond)
	var failed atomic.Int64
	for started := time.Now(); time.Since(started) < window; time.Sleep(gap) {
		go func() {
			resp, err := http.Post("http://"+s.instances[1].address+"/v1/workloads/short/runs", "", nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				failed.Add(1)
			}
		}()
	}
	b.ReportMetric(float64(failed.Load()), "failed-submits")
}

// BenchmarkCostRequests measures the cost of requests at a fixed rate to a service with 50
// replicas on 50 workers, sent through 9 instances in turn.
func BenchmarkCostRequests(b *testing.B) {
	for _, rate := range []float64{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("requests/s=%g", rate), func(b *testing.B) {
			s := newCostCluster(b, 9, 50)
			s.apply(s.instances[0], "version: 1\nteams:\n  - name: a\n    quota: {cpu: 800, memory: 2TiB}\nservices:\n  - name: casedesk\n    team: a\n    replicas: 50\n    spread: worker\n    resources: {cpu: 2, memory: 4GiB}\n")
			s.awaitRunning(s.instances[0], "casedesk", 50)
			var servers []string
			for _, inst := range s.instances {
				servers = append(servers, inst.address)
			}
			for range b.N {
				s.measure(b, func() {
					r := load.NewGenerator(load.Settings{
						Servers: servers, Service: "casedesk", Path: "x", Method: http.MethodGet,
						Rate: rate, Duration: window, Timeout: 5 * time.Second, MostOpen: 2000,
					}).Run(b.Context())
					b.ReportMetric(r.P50, "p50-ms")
					b.ReportMetric(r.P99, "p99-ms")
					b.ReportMetric(float64(r.Answers["status_200"])/float64(r.Sent), "answered-share")
				})
			}
		})
	}
}
