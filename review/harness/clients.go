//go:build review

package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// deadline is how long clients wait for a response.
const deadline = 3 * time.Second

// Clients submit jobs and ask for their states.
type Clients struct {
	world *World
	http  *http.Client

	mu       sync.Mutex
	accepted []string
	refused  int
	// jobs holds the accepted jobs.
	jobs map[string]Job
}

func newClients(w *World) *Clients {
	return &Clients{world: w, jobs: map[string]Job{}, http: &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// Step is a step of a job.
type Step struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu"`
	MemMB      int    `json:"mem_mb"`
	EstimateMS int    `json:"estimate_ms"`
	After      []int  `json:"after,omitempty"`
	Checkpoint bool   `json:"checkpoint,omitempty"`
	Label      string `json:"required_label,omitempty"`
}

// Job is the body of a submission.
type Job struct {
	Spec        string `json:"spec"`
	Steps       []Step `json:"steps"`
	RepeatCount int    `json:"repeat_count,omitempty"`
	StartAtMS   int64  `json:"start_at_ms,omitempty"`
	IntervalMS  int64  `json:"interval_ms,omitempty"`
}

// NewID returns a job id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Submit hands in a job with up to 5 attempts and reports whether it was accepted.
func (c *Clients) Submit(id string, j Job) bool {
	body, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	for range 5 {
		status, text := c.call(http.MethodPost, id, string(body))
		c.world.Record.Add("POST %s: %d %s", id, status, text)
		if status == http.StatusOK {
			c.mu.Lock()
			c.accepted = append(c.accepted, id)
			c.jobs[id] = j
			c.mu.Unlock()
			return true
		}
		time.Sleep(time.Duration(200+rand.IntN(300)) * time.Millisecond)
	}
	c.mu.Lock()
	c.refused++
	c.mu.Unlock()
	return false
}

// call sends a request to one of the instances that are ready, as the platform's address does, or to
// any if none is.
func (c *Clients) call(method, id, body string) (int, string) {
	at := c.world.Instances[rand.IntN(len(c.world.Instances))]
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.IP+":8161"+Queue+id, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = Host
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, "no answer from " + at.Name
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "broken answer of " + at.Name
	}
	return resp.StatusCode, strings.TrimSpace(string(data)) + " from " + at.Name
}

// State asks for the state of a job with up to 4 attempts; it is empty if no attempt was answered, and
// "410" if there is no such job.
func (c *Clients) State(id string) string {
	for n := range 4 {
		if n > 0 {
			time.Sleep(300 * time.Millisecond)
		}
		status, text := c.call(http.MethodGet, id, "")
		c.world.Record.Add("GET %s: %d %s", id, status, text)
		var s struct {
			State string `json:"state"`
		}
		switch {
		case status == http.StatusGone:
			return "410"
		case status == http.StatusOK && json.NewDecoder(strings.NewReader(text)).Decode(&s) == nil:
			return s.State
		}
	}
	return ""
}

// Accepted returns the ids of the accepted jobs, and how many jobs were not accepted.
func (c *Clients) Accepted() ([]string, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.accepted...), c.refused
}

// Job returns an accepted job.
func (c *Clients) Job(id string) Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

// Traffic hands in one job at each interval until end, and waits for the answers.
func (c *Clients) Traffic(end time.Time, interval time.Duration, j Job) {
	var wg sync.WaitGroup
	for time.Now().Before(end) {
		wg.Go(func() { c.Submit(NewID(), j) })
		time.Sleep(interval)
	}
	wg.Wait()
}

// States asks for the states of jobs, several at a time.
func (c *Clients) States(ids []string) map[string]string {
	states := make(map[string]string, len(ids))
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, 16)
	for _, id := range ids {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			state := c.State(id)
			mu.Lock()
			defer mu.Unlock()
			states[id] = state
		})
	}
	wg.Wait()
	return states
}
