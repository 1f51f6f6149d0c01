//go:build review

package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Worker is a stand-in of one worker, as PROTOCOL.md describes it.
type Worker struct {
	ID      string
	Zone    string
	CPU     int64
	world   *World
	service string

	mu       sync.Mutex
	server   *http.Server
	proxy    *Proxy
	listener net.Listener
	began    time.Time
	token    uint64
	leaseEnd time.Time
	runs     map[string]*run
	highest  map[string]uint64
	ends     []end
	sequence uint64
	acked    uint64
	changed  chan struct{}
	down     bool
	draining bool
}

// run is a run of a task on a worker.
type run struct {
	task  string
	run   uint64
	began time.Time
	takes time.Duration
	kind  string
	lasts bool
	timer *time.Timer
}

// startup is how long a task that lasts takes until it is at work.
const startup = 400 * time.Millisecond

// percent returns the reported progress.
func (r *run) percent() int {
	takes := r.takes
	if r.lasts {
		takes = startup
	}
	return min(100, int(100*time.Since(r.began)/takes))
}

// end is the end of a run that a worker lists until it is acknowledged.
type end struct {
	sequence uint64
	task     string
	run      uint64
	how      string
	// lapsed is set if the worker's lease has expired since.
	lapsed bool
}

// order holds the fields of all calls to a worker.
type order struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	Deadline     *int64 `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	LastAcked    uint64 `json:"last_acked"`
	Wait         int64  `json:"wait_ms"`
	Saved        string `json:"saved"`
}

// The bounds of the deployment that concern workers.
const (
	holdMax   = 6 * time.Second
	stopTakes = 100 * time.Millisecond
)

func newWorker(w *World, id, zone string, cpu int64) (*Worker, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Worker{ID: id, Zone: zone, CPU: cpu, world: w, service: Service, listener: l, began: time.Now(), leaseEnd: time.Now(),
		runs: map[string]*run{}, highest: map[string]uint64{}, changed: make(chan struct{})}
	k.server = &http.Server{Handler: k}
	go func() { _ = k.server.Serve(l) }()
	k.proxy, err = NewProxy(l.Addr().String())
	return k, err
}

// Proxy returns the proxy between the instances and the worker.
func (k *Worker) Proxy() *Proxy { return k.proxy }

// Address returns the address at which the instances reach the worker.
func (k *Worker) Address() string { return k.proxy.Address() }

// entry returns the worker's row in the table of servers.
func (k *Worker) entry(sequence int) map[string]any {
	state := "ready"
	k.mu.Lock()
	if k.draining {
		state = "draining"
	}
	k.mu.Unlock()
	return map[string]any{"service": k.service, "address": k.Address(), "zone": k.Zone, "version": "1", "slots": 8, "state": state,
		"cold_left_ms": 0, "sequence": sequence, "capacity": map[string]int64{"cpu": k.CPU, "mem_mb": 32768, "gpu": 0}, "labels": []string{"a", "r-" + k.Zone}}
}

func (k *Worker) clock() int64 { return time.Since(k.began).Milliseconds() }

// ServeHTTP implements http.Handler.
func (k *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Expected-Instance") != k.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/hold" {
		k.hold(rw, r, o)
		return
	}
	reason := ""
	switch r.URL.Path {
	case "/run-start":
		reason = k.start(o)
		k.world.Record.Printf("order  %s run-start %s run %d token %d -> %s", k.ID, o.Task, o.Run, o.FencingToken, text(reason))
	case "/run-stop":
		reason = k.stop(o)
		k.world.Record.Printf("order  %s run-stop %s run %d token %d -> %s", k.ID, o.Task, o.Run, o.FencingToken, text(reason))
	}
	k.reply(rw, reason)
}

func text(reason string) string {
	if reason == "" {
		return "200"
	}
	return "409 " + reason
}

func (k *Worker) reply(rw http.ResponseWriter, reason string) {
	body := map[string]any{"clock_ms": k.clock()}
	status := http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	writeJSON(rw, status, body)
}

// admit checks the fencing token and extends the lease. The caller holds k.mu.
func (k *Worker) admit(o order) bool {
	if o.FencingToken < k.token {
		return false
	}
	k.token = o.FencingToken
	if o.Deadline == nil {
		return true
	}
	until := k.began.Add(time.Duration(*o.Deadline) * time.Millisecond)
	if latest := time.Now().Add(holdMax); until.After(latest) {
		until = latest
	}
	if until.After(k.leaseEnd) {
		k.leaseEnd = until
		time.AfterFunc(time.Until(until), k.lapse)
	}
	return true
}

// lapse ends all runs if the lease has expired.
func (k *Worker) lapse() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Now().Before(k.leaseEnd) {
		return
	}
	for i := range k.ends {
		k.ends[i].lapsed = true
	}
	for _, r := range k.runs {
		k.finish(r, "lapsed")
	}
}

func (k *Worker) start(o order) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.admit(o) {
		return "fence"
	}
	if r := k.runs[o.Task]; r != nil && r.run == o.Run {
		return ""
	}
	if o.Run <= k.highest[o.Task] {
		return "old"
	}
	if o.Deadline == nil || !time.Now().Before(k.leaseEnd) {
		return "late"
	}
	k.highest[o.Task] = o.Run
	r := &run{task: o.Task, run: o.Run, began: time.Now(), takes: time.Hour, kind: "done"}
	words := strings.Fields(o.Spec)
	r.lasts = len(words) > 0 && words[0] == "lasts"
	if len(words) > 0 {
		if ms, err := strconv.Atoi(words[0]); err == nil {
			r.takes = time.Duration(ms) * time.Millisecond
		}
	}
	k.runs[o.Task] = r
	r.timer = time.AfterFunc(r.takes, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.finish(r, r.kind)
	})
	k.world.started(k, r)
	return ""
}

func (k *Worker) stop(o order) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.admit(o) {
		return "fence"
	}
	k.highest[o.Task] = max(k.highest[o.Task], o.Run)
	if r := k.runs[o.Task]; r != nil && r.run <= o.Run {
		time.AfterFunc(stopTakes, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.finish(r, "stopped")
		})
	}
	return ""
}

// finish ends a run. The caller holds k.mu.
func (k *Worker) finish(r *run, how string) {
	if k.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(k.runs, r.task)
	k.sequence++
	k.ends = append(k.ends, end{sequence: k.sequence, task: r.task, run: r.run, how: how})
	close(k.changed)
	k.changed = make(chan struct{})
	k.world.ended(k, r, how)
}

func (k *Worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	k.mu.Lock()
	if !k.admit(o) {
		k.mu.Unlock()
		k.reply(rw, "fence")
		return
	}
	k.ack(o.LastAcked)
	if len(k.ends) == 0 && o.Wait > 0 {
		changed := k.changed
		k.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
		k.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, one := range k.runs {
		running = append(running, []any{one.task, one.run, "", one.percent(), 0})
	}
	for _, e := range k.ends[:min(len(k.ends), 500)] {
		finished = append(finished, []any{e.sequence, e.task, e.run, e.how, ""})
	}
	k.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": k.clock(), "running": running, "finished": finished})
}

// ack forgets the ends up to a sequence. The caller holds k.mu.
func (k *Worker) ack(upTo uint64) {
	for len(k.ends) > 0 && k.ends[0].sequence <= upTo {
		k.world.acknowledged(k, k.ends[0])
		k.ends = k.ends[1:]
	}
}

// Crash ends the worker with all that runs on it. It sends nothing any more.
func (k *Worker) Crash() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = true
	for _, r := range k.runs {
		r.timer.Stop()
		delete(k.runs, r.task)
		k.world.ended(k, r, "gone")
	}
	_ = k.server.Close()
}

// Running returns the number of runs on the worker.
func (k *Worker) Running() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.runs)
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}
