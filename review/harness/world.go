//go:build review

package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"time"
)

// Options describe a deployment.
type Options struct {
	Instances, Workers int
	// CPU is the capacity of a worker in thousandths of a core.
	CPU int
	// Special is how many workers, the last ones, are of kind b; the others are of kind a.
	Special int
	// Fleet, if set, serves the interface for machines.
	Fleet http.Handler
}

// World is a small deployment.
type World struct {
	Record    *Record
	Store     *Store
	Instances []*Instance
	Clients   *Clients
	options   Options
	dir       string
	servers   []*httptest.Server
	loops     sync.WaitGroup

	mu      sync.Mutex
	workers []*Worker
	lives   int

	doneMu sync.Mutex
	// done holds the tasks that have ended done, by job.
	done map[string]map[string]bool
}

// Host is the host of the only queue, and Queue the prefix of its path.
const (
	Host  = "desk.example"
	Queue = "/letters/"
)

// Start starts a deployment and waits until its instances are ready.
func Start(r *Record, o Options) (*World, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &World{Record: r, Store: NewStore(r), options: o, dir: dir, done: map[string]map[string]bool{}}
	storeServer := w.serve(w.Store)
	adviser := w.serve(http.NotFoundHandler())
	a := Addresses{Store: storeServer, Adviser: adviser}
	if o.Fleet != nil {
		a.Fleet = w.serve(o.Fleet)
	}
	w.Store.Put("op", "config", configuration())
	for n := range o.Workers {
		w.workers = append(w.workers, nil)
		w.StartWorker(n)
	}
	network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for n := range o.Instances {
		ip, err := freeIP(network, n)
		if err != nil {
			w.Close()
			return nil, err
		}
		i, err := newInstance(dir, n, ip, a, r)
		if err != nil {
			w.Close()
			return nil, err
		}
		w.Instances = append(w.Instances, i)
		w.loops.Go(i.run)
	}
	w.Clients = newClients(w)
	return w, w.awaitReady(15 * time.Second)
}

func (w *World) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	w.servers = append(w.servers, s)
	return s.Listener.Addr().String()
}

func (w *World) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range w.Instances {
			if i.Ready() {
				ready++
			}
		}
		if ready == len(w.Instances) {
			w.Record.Print("%d instances are ready", ready)
			return nil
		}
	}
	return errors.New("the instances are not ready in time")
}

// configuration returns a configuration with one queue.
func configuration() map[string]any {
	route := map[string]any{"name": "letters", "host": Host, "path_prefix": Queue, "type": "unsafe", "timeout_ms": 3000,
		"target_duration_ms": 1200, "priority": 0, "service": "desk", "max_attempts": 3, "stretch": 4}
	service := map[string]any{"name": "desk", "admission_check": false}
	return map[string]any{"version": 1, "routes": []any{route}, "services": []any{service}, "limits": map[string]int{"max_body_bytes": 262144}}
}

// StartWorker starts the next life of worker n, at a new address and under a new id.
func (w *World) StartWorker(n int) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives++
	kind := "a"
	if n >= w.options.Workers-w.options.Special {
		kind = "b"
	}
	worker := NewWorker(fmt.Sprintf("i-%d-%d", n, w.lives), w.Record, w.taskDone)
	server := httptest.NewServer(worker)
	w.servers = append(w.servers, server)
	w.workers[n] = worker
	w.Store.Put("servers", worker.ID, map[string]any{
		"service": "desk", "address": server.Listener.Addr().String(), "zone": fmt.Sprintf("zone-%d", n%3), "state": "ready", "version": "1", "slots": 8,
		"capacity": map[string]int{"cpu": w.options.CPU, "mem_mb": 65536, "gpu": 0}, "labels": []string{kind, fmt.Sprintf("r%d", n)}, "cold_left_ms": 0, "sequence": 1,
	})
	w.Record.Add("%s registers", worker.ID)
	return worker
}

// EndWorker ends the present life of worker n and removes its entry.
func (w *World) EndWorker(n int) {
	worker := w.Worker(n)
	worker.Kill()
	w.Store.Remove("servers", worker.ID)
}

// Worker returns the present life of worker n.
func (w *World) Worker(n int) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[n]
}

// Workers returns the present lives of all workers.
func (w *World) Workers() []*Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Worker(nil), w.workers...)
}

// taskDone records that a task has ended done.
func (w *World) taskDone(task string) {
	w.doneMu.Lock()
	defer w.doneMu.Unlock()
	job := jobOf(task)
	if w.done[job] == nil {
		w.done[job] = map[string]bool{}
	}
	w.done[job][task] = true
}

// tasksLeft returns how many tasks of a job without a schedule have not ended done.
func (w *World) tasksLeft(job string) int {
	left := 0
	for _, s := range w.Clients.Job(job).Steps {
		left += s.Count
	}
	w.doneMu.Lock()
	defer w.doneMu.Unlock()
	return left - len(w.done[job])
}

// Starves reports whether a job of one step has tasks left and no run of it has existed since a time, though
// under half of the capacity of the workers is in use.
func (w *World) Starves(job string, since time.Time) bool {
	use := 0
	for _, worker := range w.Workers() {
		if worker.RanSince(job, since) {
			return false
		}
		use += worker.Use(func(id string) int { return w.Clients.Job(id).Steps[0].CPU })
	}
	return w.tasksLeft(job) > 0 && 2*use < w.options.Workers*w.options.CPU
}

// Close ends all processes and removes the temporary folder, unless REVIEW_KEEP is set.
func (w *World) Close() {
	for _, i := range w.Instances {
		i.close()
	}
	w.loops.Wait()
	for _, s := range w.servers {
		s.CloseClientConnections()
	}
	if os.Getenv("REVIEW_KEEP") != "" {
		fmt.Println("logs are kept in", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir) // a leftover folder does no harm
}

// Trouble reports whether the disruption is wanted.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
