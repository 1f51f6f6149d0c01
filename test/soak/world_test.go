package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"gentianstand/platform/standin"
)

const (
	workers     = 4
	workerCPU   = 8000
	taskCPU     = 1000
	callersHost = "desk.example"
	// workerDowntime is how long a worker is down after a task has crashed it.
	workerDowntime = time.Second
	// smallWorkerCPU is the capacity of every third incarnation.
	smallWorkerCPU = 5000
)

// shape is what a world consists of. A seed keeps the shape that went with its list of faults.
type shape struct {
	instances int
	// workerZones is the number of zones that have workers. The instances are in two zones.
	workerZones int
	// distinctIncarnations is set if workers report their incarnations.
	distinctIncarnations bool
	longRunning          longRunningWork
}

// shapeFor returns the shape that goes with a list of faults.
func shapeFor(faults int) shape {
	if faults <= beforeSilence {
		return shape{instances: 3, workerZones: 1, distinctIncarnations: faults > beforeRestarts, longRunning: longRunningWork{jobs: 1, tasks: 2}}
	}
	return shape{instances: 5, workerZones: 2, distinctIncarnations: true, longRunning: longRunningWork{jobs: 2, tasks: workers, maxPerWorker: 1}}
}

// world is the environment of the processes.
type world struct {
	t       *testing.T
	judge   *standin.Checker
	store   *standin.Store
	callers *callers
	// workspaces holds the workspaces of the configuration.
	workspaces *workspaces
	procs      []*process
	storeAt    []*standin.Proxy
	adviserAt  *standin.Proxy
	shape      shape

	// restarts is held while a process is restarted, so that they are restarted one at a time.
	restarts sync.Mutex

	mu           sync.Mutex
	agents       []*standin.Worker
	servers      []*httptest.Server
	workerAt     []*standin.Proxy
	incarnations int
}

// address returns the loopback address of an instance. Each world of each test process has its own,
// so that several can run at the same time.
func address(t *testing.T, world, instance int) string {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, world%250, instance+1)
	// A process left behind by an earlier run would answer in place of the new one.
	for _, port := range []string{"7720", "8161", "8167"} {
		l, err := net.Listen("tcp", ip+":"+port)
		if err != nil {
			t.Fatalf("the address is in use by a process of another run: %v", err)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return ip
}

// newWorld starts the simulated platform and the processes.
func newWorld(t *testing.T, binary string, number int, s shape) *world {
	t.Helper()
	w := &world{t: t, shape: s, judge: standin.NewChecker(taskCPU), store: standin.NewStore()}
	storeServer := httptest.NewServer(w.store)
	t.Cleanup(storeServer.Close)
	adviser := httptest.NewServer(http.HandlerFunc(advise))
	t.Cleanup(adviser.Close)
	w.adviserAt = w.newProxy(adviser)
	for i := range workers {
		w.addWorker(i)
	}
	w.workspaces = newWorkspaces(w)
	dir := t.TempDir()
	for i := range s.instances {
		proxy := w.newProxy(storeServer)
		w.storeAt = append(w.storeAt, proxy)
		p := newProcess(t, binary, dir, i, address(t, number, i), proxy, w.adviserAt.Address())
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
		w.procs = append(w.procs, p)
	}
	t.Cleanup(w.close)
	return w
}

// newProxy returns a proxy for a server.
func (w *world) newProxy(s *httptest.Server) *standin.Proxy {
	proxy, err := standin.NewProxy("127.0.0.1:0", s.Listener.Addr().String())
	if err != nil {
		w.t.Fatal(err)
	}
	return proxy
}

// peerProxies returns the proxies through which instances reach one another.
func (w *world) peerProxies() []*standin.Proxy {
	var list []*standin.Proxy
	for _, p := range w.procs {
		list = append(list, p.peer)
	}
	return list
}

// serviceProxies returns the proxies through which instances reach workers and the adviser.
func (w *world) serviceProxies() []*standin.Proxy {
	return append(slices.Clone(w.workerAt), w.adviserAt)
}

func (w *world) close() {
	w.adviserAt.Close()
	for _, p := range w.procs {
		p.end()
		p.peer.Close()
	}
	for i := range w.storeAt {
		w.storeAt[i].Close()
	}
	for i := range w.workerAt {
		w.workerAt[i].Close()
		w.servers[i].CloseClientConnections()
		w.servers[i].Close()
	}
}

// addWorker starts the first incarnation of worker i.
func (w *world) addWorker(i int) {
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		agent := w.agents[i]
		w.mu.Unlock()
		agent.ServeHTTP(rw, r)
	}))
	w.servers = append(w.servers, server)
	w.workerAt = append(w.workerAt, w.newProxy(server))
	w.agents = append(w.agents, nil)
	w.replaceWorker(i, nil)
}

// replaceWorker ends a worker's incarnation and starts another one under a new id at the same
// address. If expected is not nil, nothing happens unless it is the present incarnation.
func (w *world) replaceWorker(i int, expected *standin.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old, ended := w.endIncarnation(i, expected)
	if !ended {
		return
	}
	if old != nil {
		w.store.Remove("servers", old.ID)
	}
	agent := w.newIncarnation(i, fmt.Sprintf("worker-%d-%d", i, w.incarnations), workerCPU)
	w.store.Put("servers", agent.ID, w.rosterEntry(i, agent))
}

// endIncarnation ends a worker's incarnation if it is the expected one, or if expected is nil. It
// returns nil as the predecessor of the first incarnation. The caller holds w.mu.
func (w *world) endIncarnation(i int, expected *standin.Worker) (old *standin.Worker, ended bool) {
	old = w.agents[i]
	if expected != nil && old != expected {
		return nil, false
	}
	if old != nil {
		old.Kill()
	}
	w.incarnations++
	return old, true
}

// restartWorker ends a worker's incarnation and starts another one under its id. Its roster entry
// changes with the next heartbeat.
func (w *world) restartWorker(i int, heartbeat time.Duration, expected *standin.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old, ended := w.endIncarnation(i, expected)
	if !ended {
		return
	}
	cpu := int64(workerCPU)
	if w.incarnations%3 == 0 {
		cpu = smallWorkerCPU
	}
	agent := w.newIncarnation(i, old.ID, cpu)
	time.AfterFunc(heartbeat, func() { w.register(i, agent) })
}

// register writes a worker's roster entry if agent is still its present incarnation.
func (w *world) register(i int, agent *standin.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.agents[i] == agent {
		w.store.Put("servers", agent.ID, w.rosterEntry(i, agent))
	}
}

// newIncarnation puts an agent at a worker's address. Connections to its predecessor end.
func (w *world) newIncarnation(i int, id string, cpu int64) *standin.Worker {
	agent := standin.NewWorker(id, cpu, w.judge)
	if w.shape.distinctIncarnations {
		agent.Incarnation = time.Now().UnixMilli()
	}
	agent.OnCrash = func() { time.AfterFunc(workerDowntime, func() { w.restartAfterCrash(i, agent) }) }
	w.agents[i] = agent
	w.workerAt[i].Reset()
	return agent
}

// restartAfterCrash starts the incarnation after a crash, alternately under the old id and a new
// one.
func (w *world) restartAfterCrash(i int, crashed *standin.Worker) {
	if w.shape.distinctIncarnations && w.incarnationCount()%2 == 0 {
		w.restartWorker(i, workerDowntime, crashed)
		return
	}
	w.replaceWorker(i, crashed)
}

func (w *world) incarnationCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnations
}

// rosterEntry returns a worker's entry in the roster.
func (w *world) rosterEntry(i int, agent *standin.Worker) map[string]any {
	entry := map[string]any{
		"service": "desk", "address": w.workerAt[i].Address(), "zone": fmt.Sprintf("zone-%d", i%w.shape.workerZones), "state": "ready",
		"capacity": map[string]int64{"cpu": agent.CPU, "mem_mb": 32768, "gpu": 0}, "labels": []string{"a", "r1"},
	}
	if agent.Incarnation != 0 {
		entry["born"] = agent.Incarnation
	}
	return entry
}

// configuration returns a version of the configuration with the given tenants.
func configuration(version int, tenants []any) map[string]any {
	route := func(name string, priority int) map[string]any {
		return map[string]any{"name": name, "host": callersHost, "path_prefix": "/" + name + "/", "type": "unsafe", "timeout_ms": 3000,
			"target_duration_ms": 250, "priority": priority, "service": "desk", "max_attempts": 3, "stretch": 2}
	}
	advised := route("advised", 1)
	advised["advice"] = map[string]int{"decide_ms": 5, "each_ms": 1, "valid_ms": 1500}
	return map[string]any{"version": version, "tenants": tenants, "routes": []any{route("plain", 0), advised}, "services": []any{}, "limits": map[string]int{"max_body_bytes": 262144}}
}

// advise allows every worker.
func advise(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(5*time.Millisecond + time.Duration(len(q.Workers))*time.Millisecond)
	good := [][2]string{}
	for _, id := range q.Workers {
		good = append(good, [2]string{id, "ticket"})
	}
	if err := json.NewEncoder(rw).Encode(map[string]any{"good": good}); err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
	}
}
