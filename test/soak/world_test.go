package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"gentianstand/platform/standin"
)

const (
	nodes       = 3
	workers     = 4
	workerCPU   = 8000
	taskCPU     = 1000
	callersHost = "desk.example"
	// workerDowntime is how long a worker that a task crashed is away.
	workerDowntime = time.Second
	// smallWorkerCPU is the room of every third incarnation.
	smallWorkerCPU = 5000
)

// world is everything around the processes.
type world struct {
	t       *testing.T
	judge   *standin.Checker
	store   *standin.Store
	callers *callers
	// workspaces are those of the configuration.
	workspaces *workspaces
	procs      []*process
	storeAt    []*standin.Proxy

	// distinctIncarnations says that workers tell their incarnations apart.
	distinctIncarnations bool
	// restarts has processes started one at a time.
	restarts sync.Mutex

	mu           sync.Mutex
	agents       []*standin.Worker
	servers      []*httptest.Server
	workerAt     []*standin.Proxy
	incarnations int
}

// address returns the loopback address of an instance. Each world of each test process
// has its own, so that several can run beside one another.
func address(t *testing.T, world, instance int) string {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, world%250, instance+1)
	// A process that an earlier run left behind would answer in place of ours.
	for _, port := range []string{"7720", "8161", "8167"} {
		l, err := net.Listen("tcp", ip+":"+port)
		if err != nil {
			t.Fatalf("a process of another run has the address: %v", err)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return ip
}

// newWorld starts the stand-ins and the processes.
func newWorld(t *testing.T, binary string, number int, distinctIncarnations bool) *world {
	t.Helper()
	w := &world{t: t, distinctIncarnations: distinctIncarnations, judge: standin.NewChecker(taskCPU), store: standin.NewStore()}
	storeServer := httptest.NewServer(w.store)
	t.Cleanup(storeServer.Close)
	adviser := httptest.NewServer(http.HandlerFunc(advise))
	t.Cleanup(adviser.Close)
	for i := range workers {
		w.addWorker(i)
	}
	w.workspaces = newWorkspaces(w)
	dir := t.TempDir()
	for i := range nodes {
		proxy, err := standin.NewProxy("127.0.0.1:0", storeServer.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		w.storeAt = append(w.storeAt, proxy)
		p := newProcess(t, binary, dir, i, address(t, number, i), proxy.Address(), adviser.Listener.Addr().String())
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
		w.procs = append(w.procs, p)
	}
	t.Cleanup(w.close)
	return w
}

func (w *world) close() {
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

// addWorker starts worker i's first life.
func (w *world) addWorker(i int) {
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		agent := w.agents[i]
		w.mu.Unlock()
		agent.ServeHTTP(rw, r)
	}))
	proxy, err := standin.NewProxy("127.0.0.1:0", server.Listener.Addr().String())
	if err != nil {
		w.t.Fatal(err)
	}
	w.servers = append(w.servers, server)
	w.workerAt = append(w.workerAt, proxy)
	w.agents = append(w.agents, nil)
	w.replaceWorker(i, nil)
}

// replaceWorker ends a worker's life and begins another at the same address. life, if not
// nil, is the one that is meant.
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

// endIncarnation ends a worker's life, if it is the one that is meant; w.mu is held. It returns nil
// for the life before the first one.
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

// restartWorker ends a worker's life and begins another under its id. Its entry changes when
// the next heartbeat is written.
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

// register writes a worker's entry, if it still lives.
func (w *world) register(i int, agent *standin.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.agents[i] == agent {
		w.store.Put("servers", agent.ID, w.rosterEntry(i, agent))
	}
}

// newIncarnation puts an agent at a worker's address. Connections to the one before end.
func (w *world) newIncarnation(i int, id string, cpu int64) *standin.Worker {
	agent := standin.NewWorker(id, cpu, w.judge)
	if w.distinctIncarnations {
		agent.Incarnation = time.Now().UnixMilli()
	}
	agent.OnCrash = func() { time.AfterFunc(workerDowntime, func() { w.restartAfterCrash(i, agent) }) }
	w.agents[i] = agent
	w.workerAt[i].Reset()
	return agent
}

// restartAfterCrash begins the life after a crash, under the id before or another one by turns.
func (w *world) restartAfterCrash(i int, crashed *standin.Worker) {
	if w.distinctIncarnations && w.incarnationCount()%2 == 0 {
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

// rosterEntry returns a worker's rosterEntry in the roster.
func (w *world) rosterEntry(i int, agent *standin.Worker) map[string]any {
	entry := map[string]any{
		"service": "desk", "address": w.workerAt[i].Address(), "zone": "zone-0", "state": "ready",
		"capacity": map[string]int64{"cpu": agent.CPU, "mem_mb": 32768, "gpu": 0}, "labels": []string{"a", "r1"},
	}
	if agent.Incarnation != 0 {
		entry["born"] = agent.Incarnation
	}
	return entry
}

// configuration returns a version of the configuration with some tenants.
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
