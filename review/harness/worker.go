//go:build review

package harness

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bounds that the workers keep; the settings of the instances state the same.
const (
	holdMax        = 6000 * time.Millisecond
	stopTakes      = 100 * time.Millisecond
	checkpointEach = 500 * time.Millisecond
	restoreTakes   = 600 * time.Millisecond
	maxListedEnds  = 500
)

// Worker is a stand-in of one life of a worker. A spec is the time that a task works, such as "300ms",
// followed by " saves" if it writes checkpoints. Workers do not guard their capacity.
type Worker struct {
	ID     string
	record *Record
	// onDone is called for each run that ends done.
	onDone func(task string)

	mu       sync.Mutex
	began    time.Time
	token    uint64
	leaseEnd time.Time
	runs     map[string]*run
	highest  map[string]uint64
	ends     []end
	sequence uint64
	changed  chan struct{}
	dead     bool
	// lastRunOf is when the last run of a job ended, listedAt when an end was first listed.
	lastRunOf map[string]time.Time
	listedAt  map[uint64]time.Time
}

// run is one run of a task.
type run struct {
	task      string
	number    uint64
	startedAt time.Time
	// takes is the work of the whole task, done the work before this run.
	takes, done time.Duration
	saves       bool
	timer       *time.Timer
}

type end struct {
	sequence uint64
	task     string
	run      uint64
	how      string
	saved    string
}

func (e end) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{e.sequence, e.task, e.run, e.how, e.saved})
}

// NewWorker returns a worker that runs nothing.
func NewWorker(id string, r *Record, onDone func(task string)) *Worker {
	now := time.Now()
	return &Worker{ID: id, record: r, onDone: onDone, began: now, leaseEnd: now, runs: map[string]*run{}, highest: map[string]uint64{},
		changed: make(chan struct{}), lastRunOf: map[string]time.Time{}, listedAt: map[uint64]time.Time{}}
}

type workerCall struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   *int64 `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	Saved        string `json:"saved"`
	LastAcked    uint64 `json:"last_acked"`
	WaitMS       int64  `json:"wait_ms"`
}

func (w *Worker) clock() int64 { return time.Since(w.began).Milliseconds() }

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var c workerCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("Expected-Instance") != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if c.FencingToken < w.token {
		w.refuse(rw, "fence")
		return
	}
	w.token = c.FencingToken
	w.extendLease(c.DeadlineMS)
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, c)
	case "/run-stop":
		w.stop(c)
		answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
	case "/pace":
		answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
	case "/hold":
		w.hold(rw, r, c)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *Worker) refuse(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

func (w *Worker) extendLease(deadline *int64) {
	if deadline == nil {
		return
	}
	until := w.began.Add(time.Duration(*deadline) * time.Millisecond)
	if latest := time.Now().Add(holdMax); until.After(latest) {
		until = latest
	}
	if until.After(w.leaseEnd) {
		w.leaseEnd = until
		time.AfterFunc(time.Until(until), w.lapse)
	}
}

func (w *Worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || time.Now().Before(w.leaseEnd) {
		return
	}
	for _, r := range w.runs {
		w.end(r, "lapsed")
	}
}

func (w *Worker) start(rw http.ResponseWriter, c workerCall) {
	switch r := w.runs[c.Task]; {
	case r != nil && r.number == c.Run:
		answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
		return
	case c.Run <= w.highest[c.Task]:
		w.refuse(rw, "old")
		return
	case time.Now().After(w.leaseEnd):
		w.refuse(rw, "late")
		return
	}
	words := strings.Fields(c.Spec)
	takes, err := time.ParseDuration(words[0])
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	r := &run{task: c.Task, number: c.Run, startedAt: time.Now(), takes: takes, saves: len(words) > 1}
	if c.Saved != "" {
		var ms int64
		if _, err := fmt.Sscanf(c.Saved[:8], "%x", &ms); err == nil {
			r.done = time.Duration(ms) * time.Millisecond
			r.startedAt = r.startedAt.Add(restoreTakes)
		}
	}
	w.highest[c.Task] = c.Run
	w.runs[c.Task] = r
	w.record.Add("%s starts %s run %d, token %d", w.ID, c.Task, c.Run, c.FencingToken)
	r.timer = time.AfterFunc(time.Until(r.startedAt)+takes-r.done, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(r, "done")
	})
	answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

// end ends a run. The caller holds w.mu.
func (w *Worker) end(r *run, how string) {
	if w.dead || w.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, r.task)
	w.sequence++
	w.listedAt[w.sequence] = time.Now()
	saved := ""
	if how == "stopped" {
		saved = r.saved()
	}
	w.ends = append(w.ends, end{w.sequence, r.task, r.number, how, saved})
	w.lastRunOf[jobOf(r.task)] = time.Now()
	if how == "done" {
		w.onDone(r.task)
	}
	w.record.Add("%s lists the end %d of %s run %d: %s", w.ID, w.sequence, r.task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) stop(c workerCall) {
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if r := w.runs[c.Task]; r != nil && r.number == c.Run {
		time.AfterFunc(stopTakes, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "stopped")
		})
	}
}

// saved returns the newest checkpoint of a run: the time worked, and a hash of the task's name.
func (r *run) saved() string {
	worked := r.done + max(0, time.Since(r.startedAt)).Truncate(checkpointEach)
	if !r.saves || worked < checkpointEach {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.task)) // a hash does not fail
	return fmt.Sprintf("%08x%08x", worked.Milliseconds(), h.Sum32())
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, c workerCall) {
	for len(w.ends) > 0 && w.ends[0].sequence <= c.LastAcked {
		delete(w.listedAt, w.ends[0].sequence)
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 && c.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(c.WaitMS) * time.Millisecond):
		}
		w.mu.Lock()
		if w.dead {
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for _, r := range w.runs {
		percent := int(100 * (r.done + max(0, time.Since(r.startedAt))) / r.takes)
		running = append(running, []any{r.task, r.number, r.saved(), min(percent, 99), 100})
	}
	answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "running": running, "finished": append([]end{}, w.ends[:min(len(w.ends), maxListedEnds)]...)})
}

// Kill ends this life of the worker: its runs are gone and it answers no more.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		r.timer.Stop()
		w.lastRunOf[jobOf(r.task)] = time.Now()
	}
	w.record.Add("%s ends with %d runs", w.ID, len(w.runs))
	w.runs, w.dead = map[string]*run{}, true
}

// Fail ends some runs as failed.
func (w *Worker) Fail(runs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if runs--; runs < 0 {
			return
		}
		w.end(r, "failed")
	}
}

// Use returns what all runs use, in thousandths of a core. cpu returns the need of a task of a job.
func (w *Worker) Use(cpu func(job string) int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	use := 0
	for task := range w.runs {
		use += cpu(jobOf(task))
	}
	return use
}

// RanSince reports whether a run of a job existed here after the given time.
func (w *Worker) RanSince(job string, since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.runs {
		if jobOf(task) == job {
			return true
		}
	}
	return w.lastRunOf[job].After(since)
}

// Ends returns how many ends were listed for at least age, in all and without being taken note of.
func (w *Worker) Ends(age time.Duration) (total, unnoted int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	young := 0
	for _, e := range w.ends {
		if time.Since(w.listedAt[e.sequence]) >= age {
			unnoted++
		} else {
			young++
		}
	}
	return int(w.sequence) - young, unnoted
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

func answer(rw http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data) // the caller may have gone
}
