package cell

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gentianstand/internal/run"
	standplatform "gentianstand/internal/standin/platform"
	standworker "gentianstand/internal/standin/worker"
)

// TestMain fixes the number of checks and the seed, so that the outcome is the same every time.
// Other values of -rapid.checks and -rapid.seed explore further.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.seed", "20261202")
	flag.Parse()
	os.Exit(m.Run())
}

// failure is one step of a sequence of failures.
type failure struct {
	name   string
	member int
	worker int
	target int
	pause  time.Duration
}

var failureNames = []string{
	"nothing", "kill", "replace", "freeze", "thaw", "cut_table", "cut_peer", "cut_worker", "heal_member",
	"table_down", "table_up", "table_slow", "lose_answers", "worker_silent", "worker_back", "worker_restart", "replace_all",
}

func drawFailure(rt *rapid.T) failure {
	return failure{
		name:   rapid.SampledFrom(failureNames).Draw(rt, "failure"),
		member: rapid.IntRange(0, members-1).Draw(rt, "member"),
		worker: rapid.IntRange(0, workers-1).Draw(rt, "worker"),
		target: rapid.IntRange(0, members-1).Draw(rt, "target"),
		pause:  time.Duration(rapid.IntRange(0, 8000).Draw(rt, "pause_ms")) * time.Millisecond,
	}
}

func (c *cell) inject(f failure) {
	w := c.workers[fmt.Sprintf("worker-%d", f.worker)]
	with := func(do func(*member)) {
		c.each(func(n int, m *member) {
			if n == f.member {
				do(m)
			}
		})
	}
	switch f.name {
	case "kill":
		c.kill(f.member)
	case "replace":
		c.replace(f.member)
	case "freeze":
		with(func(m *member) { m.link.freeze() })
	case "thaw":
		with(func(m *member) { m.link.thaw() })
	case "cut_table":
		with(func(m *member) { m.link.setCut("table", true) })
	case "cut_peer":
		with(func(m *member) { m.link.setCut(fmt.Sprintf("entry-%d", f.target), true) })
	case "cut_worker":
		with(func(m *member) { m.link.setCut(fmt.Sprintf("worker-%d", f.worker), true) })
	case "heal_member":
		with(func(m *member) { m.link.restore() })
	case "table_down":
		c.faulty.SetFault(standplatform.Fault{TableDown: true})
	case "table_up":
		c.faulty.SetFault(standplatform.Fault{})
	case "table_slow":
		c.faulty.SetFault(standplatform.Fault{DelayMillis: 700})
	case "lose_answers":
		c.faulty.SetFault(standplatform.Fault{LoseAnswers: 5})
	case "worker_silent":
		w.SetFault(standworker.Fault{DropAgent: true})
	case "worker_back":
		w.SetFault(standworker.Fault{})
	case "worker_restart":
		w.Restart()
	case "replace_all":
		for n := range members {
			c.replace(n)
		}
	}
}

// Under any failures, in any order, no invariant is violated. Once all faults have ended, all
// accepted work ends.
func TestMixedFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		sequence := rapid.SliceOfN(rapid.Custom(drawFailure), 3, 14).Draw(rt, "sequence")
		var log lockedLog
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = runSequence(seed, sequence, &log) })
		if len(problems) > 0 {
			if path := os.Getenv("CELL_LOG"); path != "" {
				_ = os.WriteFile(path, log.bytes(), 0o600)
			}
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}

// runSequence runs one sequence of failures and returns the problems that it found.
func runSequence(seed uint64, sequence []failure, log *lockedLog) []string {
	c := newCell(seed, log)
	defer c.stop()
	time.Sleep(4 * time.Second)
	for _, f := range sequence {
		log.note("inflict %+v", f)
		c.inject(f)
		time.Sleep(f.pause)
	}
	log.note("heal")
	c.endFaults()
	unfinished := c.awaitCompletion(5 * time.Minute)
	problems := standworker.Violations(c.record.Events())
	problems = append(problems, repeatedStarts(c.record.Events())...)
	return append(problems, unfinished...)
}

// awaitCompletion waits until every batch and job has ended and the service runs. It returns the
// remaining problems.
func (c *cell) awaitCompletion(timeout time.Duration) []string {
	deadline := time.Now().Add(timeout)
	for {
		problems := c.unfinished()
		if len(problems) == 0 || time.Now().After(deadline) {
			return problems
		}
		time.Sleep(time.Second)
	}
}

func (c *cell) unfinished() []string {
	runs, err := c.runs()
	if err != nil {
		return []string{err.Error()}
	}
	var problems []string
	for _, name := range []string{"letters", "gang"} {
		if r := runs[name]; r == nil || r.State != run.Succeeded {
			problems = append(problems, fmt.Sprintf("%s did not succeed: %+v", name, r))
		}
	}
	if r := runs["once"]; r == nil || !r.State.Final() {
		problems = append(problems, fmt.Sprintf("once has not ended: %+v", r))
	}
	if n := c.replicas(); n != 2 {
		problems = append(problems, fmt.Sprintf("%d replicas run, want 2", n))
	}
	return problems
}

func (c *cell) replicas() int {
	n := 0
	for _, w := range c.workers {
		for _, ref := range w.RunningTasks() {
			if ref.Run == run.ServiceID("casedesk") {
				n++
			}
		}
	}
	return n
}

// repeatedStarts returns a problem for each task that must run at most once and was started again.
func repeatedStarts(events []standworker.Event) []string {
	counts := map[string]int{}
	for _, e := range events {
		if e.Type == standworker.TaskStarted && strings.HasPrefix(e.Task, "once-") {
			counts[e.Task]++
		}
	}
	var problems []string
	for task, n := range counts {
		if n > 1 {
			problems = append(problems, fmt.Sprintf("task %s must not be repeated and was started %d times", task, n))
		}
	}
	slices.Sort(problems)
	return problems
}

// lockedLog collects the log lines of one sequence.
type lockedLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lockedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lockedLog) note(format string, args ...any) {
	fmt.Fprintf(l, "---- %s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}

func (l *lockedLog) bytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.buf.Bytes())
}
