//go:build review

package rig

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The names of the configuration.
const (
	Service = "desk"
	Host    = "desk.example"
)

// SmallSite returns the instances and workers of the site lankadesa-casework: 9 instances and 48 workers
// of 16 cores in 3 zones.
func SmallSite() Options {
	o := Options{CPU: 16000}
	for _, zone := range Zones {
		for range 3 {
			o.Zones = append(o.Zones, zone)
		}
		for range 16 {
			o.Workers = append(o.Workers, zone)
		}
	}
	return o
}

// Zones are the zones of the small site.
var Zones = []string{"colombo-hall", "gampaha-hall", "kalutara-hall"}

// Options describe a deployment.
type Options struct {
	// Zones holds the zone of each instance.
	Zones []string
	// Workers holds the zone of each worker.
	Workers []string
	CPU     int64
	// Allowed is the share of the workers that the adviser allows for a step; 0 is all.
	Allowed float64
	// WithoutOwner makes NewWorld return as soon as the instances are ready, even if none owns the cell.
	WithoutOwner bool
	// Store is the store with what it holds at the start, or nil for an empty one.
	Store *Store
	// Fleet handles the machine interface, if not nil.
	Fleet http.Handler
}

// World is a running deployment.
type World struct {
	Record    *Record
	Store     *Store
	Processes []*Process
	Workers   []*Worker
	// MemoryKills counts the processes that were killed because of their memory.
	MemoryKills atomic.Int64

	dir                                        string
	storeAddress, adviserAddress, fleetAddress string
	allowed                                    float64
	closers                                    []func()
	stop                                       chan struct{}

	mu sync.Mutex
	// running holds the workers on which each task runs.
	running map[string][]string
	done    map[string]bool
	// ackedDone holds the tasks whose end done was taken note of.
	ackedDone  map[string]bool
	starts     map[string]int
	lastRunEnd map[string]time.Time
	violations []string
}

// NewWorld starts a deployment and waits until it is ready.
func NewWorld(recordPath string, o Options) (*World, error) {
	record, err := NewRecord(recordPath)
	if err != nil {
		return nil, err
	}
	store := o.Store
	if store == nil {
		store = NewStore()
	}
	dir, err := os.MkdirTemp("", "gentianstand-review-")
	if err != nil {
		return nil, err
	}
	w := &World{Record: record, Store: store, allowed: o.Allowed, dir: dir, stop: make(chan struct{}), running: map[string][]string{}, done: map[string]bool{},
		ackedDone: map[string]bool{}, starts: map[string]int{}, lastRunEnd: map[string]time.Time{}}
	if w.storeAddress, err = w.serve(w.Store); err != nil {
		return w, err
	}
	if w.adviserAddress, err = w.serve(http.HandlerFunc(w.advise)); err != nil {
		return w, err
	}
	if o.Fleet != nil {
		if w.fleetAddress, err = w.serve(o.Fleet); err != nil {
			return w, err
		}
	}
	w.Store.Put("op", "config", configuration())
	for i, zone := range o.Workers {
		k, err := newWorker(w, fmt.Sprintf("w-%02d", i), zone, o.CPU)
		if err != nil {
			return w, err
		}
		w.Workers = append(w.Workers, k)
	}
	go w.heartbeats()
	inZone := map[string]int{}
	for _, zone := range o.Zones {
		inZone[zone]++
		p, err := newProcess(w, fmt.Sprintf("edge-%s-%d", zone, inZone[zone]), zone)
		if err != nil {
			return w, err
		}
		w.Processes = append(w.Processes, p)
	}
	for _, p := range w.Processes {
		if err := p.Start(); err != nil {
			return w, err
		}
	}
	return w, w.awaitReady(o.WithoutOwner)
}

func (w *World) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

func (w *World) awaitReady(withoutOwner bool) error {
	for range 100 {
		ready := 0
		for _, p := range w.Processes {
			if p.isReady() {
				ready++
			}
		}
		if ready == len(w.Processes) && (withoutOwner || len(w.OwnerLog("cell_loaded")) > 0) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the instances did not become ready")
}

// OwnerLog returns the lines with a text of the logs of all instances.
func (w *World) OwnerLog(contains string) []string {
	var list []string
	for _, p := range w.Processes {
		list = append(list, p.Log(contains)...)
	}
	return list
}

// Owner returns the instance that last took the cell, according to its log.
func (w *World) Owner() *Process {
	var owner *Process
	highest := -1
	for _, p := range w.Processes {
		for _, line := range p.Log("msg=ownership_taken") {
			term := 0
			if _, after, ok := strings.Cut(line, " term="); ok {
				_, _ = fmt.Sscanf(after, "%d", &term)
			}
			if term > highest {
				owner, highest = p, term
			}
		}
	}
	return owner
}

// heartbeats renews the entries of the workers.
func (w *World) heartbeats() {
	for n := 1; ; n++ {
		for _, k := range w.workers() {
			k.mu.Lock()
			down := k.down
			k.mu.Unlock()
			if !down {
				w.Store.Put("servers", k.ID, k.entry(n))
			}
		}
		select {
		case <-w.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// workers returns the workers at this moment.
func (w *World) workers() []*Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Worker(nil), w.Workers...)
}

// AddWorker adds a worker in a zone.
func (w *World) AddWorker(zone string, cpu int64) error {
	k, err := newWorker(w, fmt.Sprintf("w-%02d", len(w.workers())), zone, cpu)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.Workers = append(w.Workers, k)
	w.mu.Unlock()
	return nil
}

// RemoveEntry removes the entry of a worker that is gone.
func (w *World) RemoveEntry(k *Worker) { w.Store.Remove("servers", k.ID) }

// Close ends everything that the world started.
func (w *World) Close() {
	close(w.stop)
	for _, p := range w.Processes {
		p.Kill()
		p.Peer.Close()
		p.Store.Close()
		_ = p.log.Close()
	}
	for _, k := range w.Workers {
		_ = k.server.Close()
		k.proxy.Close()
	}
	for _, c := range w.closers {
		c()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(w.dir, keep)
	}
	_ = os.RemoveAll(w.dir)
	w.Record.Close()
}

// started records a start on a worker. The worker's lock is held.
func (w *World) started(k *Worker, r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[r.task]++
	w.Record.Printf("run    %s starts %s run %d", k.ID, r.task, r.run)
	if on := w.running[r.task]; len(on) > 0 {
		w.violate("TWICE: %s starts on %s while it runs on %s", r.task, k.ID, strings.Join(on, ", "))
	}
	if w.ackedDone[r.task] {
		w.violate("TWICE: %s starts on %s after its end was taken note of", r.task, k.ID)
	}
	w.running[r.task] = append(w.running[r.task], k.ID)
}

func (w *World) ended(k *Worker, r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Record.Printf("run    %s ends %s run %d %s", k.ID, r.task, r.run, how)
	on := w.running[r.task]
	for i, id := range on {
		if id == k.ID {
			w.running[r.task] = append(on[:i:i], on[i+1:]...)
			break
		}
	}
	w.lastRunEnd[r.task] = time.Now()
	if how == "done" {
		w.done[r.task] = true
	}
}

func (w *World) acknowledged(k *Worker, e end) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.how == "done" && !e.lapsed {
		w.ackedDone[e.task] = true
	}
}

// violate records a broken rule. The caller holds w.mu.
func (w *World) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.violations = append(w.violations, text)
	w.Record.Printf("BROKEN %s", text)
}

// Violate records a broken rule.
func (w *World) Violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violate(format, args...)
}

// Violations returns the broken rules.
func (w *World) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// TasksRunning returns the names of the running tasks of a job.
func (w *World) TasksRunning(job string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for task, on := range w.running {
		if strings.HasPrefix(task, job+".") && len(on) > 0 {
			list = append(list, task)
		}
	}
	sort.Strings(list)
	return list
}

// Starts returns how often a task was started.
func (w *World) Starts(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[task]
}

// DownFor returns for how long a task has not been running, or 0 if it runs.
func (w *World) DownFor(task string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.running[task]) > 0 {
		return 0
	}
	return time.Since(w.lastRunEnd[task])
}

// WorkersWithout returns the number of workers that run no task of a job.
func (w *World) WorkersWithout(job string) int {
	n := 0
	for _, k := range w.Workers {
		k.mu.Lock()
		has := false
		for task := range k.runs {
			has = has || strings.HasPrefix(task, job+".")
		}
		k.mu.Unlock()
		if !has {
			n++
		}
	}
	return n
}

// TasksDone returns how many tasks of a job have ended done.
func (w *World) TasksDone(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task := range w.done {
		if strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

// configuration returns a configuration with one queue.
func configuration() map[string]any {
	route := map[string]any{"name": "plain", "host": Host, "path_prefix": "/plain/", "type": "unsafe", "timeout_ms": 3000,
		"target_duration_ms": 250, "priority": 0, "service": Service, "max_attempts": 3, "stretch": 2,
		"advice": map[string]any{"decide_ms": decideMillis, "each_ms": eachMillis, "valid_ms": 3000}}
	return map[string]any{"version": 3, "routes": []any{route}, "services": []any{map[string]any{"name": Service, "admission_check": false}},
		"limits": map[string]int{"max_body_bytes": 262144}}
}

// The times of the adviser.
const (
	decideMillis = 20
	eachMillis   = 0.5
)

// advise answers a call to the adviser. Which workers a step may use does not change.
func (w *World) advise(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration((decideMillis + eachMillis*float64(len(q.Workers))) * float64(time.Millisecond)))
	good := [][2]string{}
	for _, id := range q.Workers {
		h := fnv.New32a()
		_, _ = h.Write([]byte(q.Step + id))
		if w.allowed == 0 || float64(h.Sum32()%1000) < 1000*w.allowed {
			good = append(good, [2]string{id, "ticket"})
		}
	}
	writeJSON(rw, http.StatusOK, map[string]any{"good": good})
}
