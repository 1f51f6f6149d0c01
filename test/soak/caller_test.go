package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	"gentianstand/platform/standin"
)

// outcome is the answer that a caller got for its job.
type outcome int

const (
	// unknown means that an attempt got no answer, or one that leaves the outcome open.
	unknown outcome = iota
	accepted
	refused
)

// submission is one job and its outcome.
type submission struct {
	id, queue string
	workspace string
	outcome   outcome
	fails     bool
}

// isExpectedState reports whether state is a final state that the job may have.
func (s submission) isExpectedState(j *standin.Checker, state string) bool {
	switch state {
	case "completed":
		return !s.fails
	case "failed":
		return s.fails || j.IsPoisonJob(s.id)
	}
	return false
}

// callers submit jobs through any process and remember the answers.
type callers struct {
	world  *world
	client *http.Client

	mu   sync.Mutex
	jobs []submission
}

func newCallers(w *world) *callers {
	return &callers{world: w, client: &http.Client{Timeout: 4 * time.Second}}
}

// run submits a job every 25 ms until ctx ends, and waits for the last answers.
func (c *callers) run(ctx context.Context, rnd *rand.Rand) {
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%08x", rnd.Uint32(), n)
		queue := []string{"plain", "advised"}[rnd.Intn(2)]
		body, fails := jobBody(rnd)
		seed := rnd.Int63()
		workspace := []string{"north", quotaWorkspace}[n%2]
		wg.Go(func() {
			c.submit(submission{id: id, queue: queue, workspace: workspace, fails: fails}, body, rand.New(rand.NewSource(seed)))
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
}

func jobBody(rnd *rand.Rand) (string, bool) {
	spec := (time.Duration(20+rnd.Intn(400)) * time.Millisecond).String()
	fails := rnd.Intn(20) == 0
	if fails {
		spec = "fail"
	}
	step := fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":10,"estimate_ms":200}`, 1+rnd.Intn(3), taskCPU)
	steps := step
	if rnd.Intn(2) == 0 {
		steps += fmt.Sprintf(`,{"count":%d,"cpu":%d,"mem_mb":10,"estimate_ms":200,"after":[0]}`, 1+rnd.Intn(2), taskCPU)
	}
	return fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, spec, steps), fails
}

// submit makes up to 5 attempts to submit a job, as the protocol allows: again after a refusal, and
// with the same id after no answer.
func (c *callers) submit(s submission, body string, rnd *rand.Rand) {
	c.world.judge.Submitted(s.id, s.workspace, false)
	s.outcome = refused
	for range 5 {
		key := c.world.workspaces.pick(s.workspace, rnd)
		if key.workspace != s.workspace {
			key = c.world.workspaces.valid(s.workspace)
		}
		status, _ := c.call(http.MethodPost, s, key, body, rnd)
		if status == http.StatusOK {
			s.outcome = accepted
			break
		}
		if status != http.StatusServiceUnavailable && status != http.StatusUnauthorized {
			s.outcome = unknown
		}
		time.Sleep(time.Duration(100+rnd.Intn(300)) * time.Millisecond)
	}
	if s.outcome == refused {
		c.world.judge.Submitted(s.id, s.workspace, true)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = append(c.jobs, s)
}

// submitPoison submits a job of one task that crashes every worker on which it starts.
func (c *callers) submitPoison(rnd *rand.Rand) {
	id := fmt.Sprintf("%08x%08x", rnd.Uint32(), rnd.Uint32())
	c.submit(submission{id: id, queue: "plain", workspace: "north", fails: true}, fmt.Sprintf(`{"spec":"crash","steps":[{"count":1,"cpu":%d,"mem_mb":10,"estimate_ms":200}]}`, taskCPU), rnd)
}

// call returns the status, or 0 for no answer, and the state in the answer.
func (c *callers) call(method string, s submission, key *apiKey, body string, rnd *rand.Rand) (int, string) {
	sent := time.Now()
	status, state := c.send(method, s, key, body, rnd)
	c.world.workspaces.checkAnswer(key, sent, status)
	return status, state
}

func (c *callers) send(method string, s submission, key *apiKey, body string, rnd *rand.Rand) (int, string) {
	p := c.world.pick(rnd)
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:8161/%s/%s", p.ip, s.queue, s.id), strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = callersHost
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Authorization", "Bearer "+key.text)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	var state struct {
		State string `json:"state"`
	}
	if json.Unmarshal(data, &state) != nil {
		return resp.StatusCode, ""
	}
	return resp.StatusCode, state.State
}

// unfinished returns the accepted jobs that are not in an expected final state.
func (c *callers) unfinished(rnd *rand.Rand) []string {
	var left []string
	for _, j := range c.jobs {
		if j.outcome != accepted {
			continue
		}
		if status, state := c.call(http.MethodGet, j, c.world.workspaces.valid(j.workspace), "", rnd); !j.isExpectedState(c.world.judge, state) {
			left = append(left, fmt.Sprintf("%s: %d %q, fails %v", j.id, status, state, j.fails))
		}
	}
	return left
}
