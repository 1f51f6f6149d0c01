package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

var (
	seedRange = flag.String("seeds", "1-2", "first and last seed")
	seconds   = flag.Int("seconds", 6, "seconds of faults for each seed")
)

// settleTime limits the wait for the accepted jobs after the last fault. It is no guarantee: it is
// far above the seconds that a take-over and a lease need.
const settleTime = 60 * time.Second

// regressionTime is how long faults were injected when the seeds in regressions failed.
const regressionTime = 12 * time.Second

// TestSoak runs the seeds of the flags, one after the other.
func TestSoak(t *testing.T) {
	soakSeeds(t, faults)
}

// soakSeeds runs the seeds of the flags with a list of faults.
func soakSeeds(t *testing.T, list []fault) {
	var first, last int
	if _, err := fmt.Sscanf(*seedRange, "%d-%d", &first, &last); err != nil {
		t.Fatalf("-seeds %q: %v", *seedRange, err)
	}
	binary := build(t)
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			soak(t, binary, int64(seed), time.Duration(*seconds)*time.Second, list)
		})
	}
}

// TestSoakRestarts runs the seeds with additional restarts of workers under their ids.
func TestSoakRestarts(t *testing.T) {
	soakSeeds(t, slices.Concat(faults, slices.Repeat(faults[beforeRestarts:], restartShare)))
}

// TestSoakPoison runs the seeds with additional poison tasks.
func TestSoakPoison(t *testing.T) {
	soakSeeds(t, slices.Concat(faults, slices.Repeat([]fault{poison}, poisonShare)))
}

// TestSoakWorkspaces runs the seeds with additional key replacements and quota changes.
func TestSoakWorkspaces(t *testing.T) {
	soakSeeds(t, slices.Concat(faults, slices.Repeat(workspaceFaults, workspaceShare)))
}

// regressions lists the seeds that have failed, with the number of faults that they drew from and
// the cause.
var regressions = []struct {
	seed   int64
	faults int
	cause  string
}{
	{4, beforePeerFaults, "the checker counted a failure that a replaced worker had never reported"},
	{5, beforePeerFaults, "as seed 4, twice"},
	{12, beforePeerFaults, "as seed 4"},
	{131, beforePeerFaults, "the checker counted a failure that a worker had reported before its lease expired while it was unreachable"},
}

// TestSoakRegressions runs the seeds that have failed, for as long as they ran then.
func TestSoakRegressions(t *testing.T) {
	binary := build(t)
	for _, r := range regressions {
		t.Run(fmt.Sprintf("seed-%d", r.seed), func(t *testing.T) {
			t.Logf("failed because: %s", r.cause)
			soak(t, binary, r.seed, regressionTime, faults[:r.faults])
		})
	}
}

func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "gentianstand")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/gentianstand").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

func soak(t *testing.T, binary string, seed int64, length time.Duration, faults []fault) {
	rnd := rand.New(rand.NewSource(seed))
	w := newWorld(t, binary, int(seed), len(faults) > beforeRestarts)
	waitFor(t, "all processes are ready", func() bool {
		for _, p := range w.procs {
			if !p.ready() {
				return false
			}
		}
		return true
	})
	c := newCallers(w)
	w.callers = c
	longRunningRnd := rand.New(rand.NewSource(-seed))
	longRunning := c.submitLongRunning(longRunningRnd)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	callersDone := make(chan struct{})
	callerSeed := rnd.Int63()
	go func() {
		defer close(callersDone)
		c.run(ctx, rand.New(rand.NewSource(callerSeed)))
	}()
	injected := injectFaults(ctx, w, rnd, faults)
	<-callersDone
	var left []string
	waitFor(t, "all accepted jobs have ended", func() bool {
		left = c.unfinished(rnd)
		return len(left) == 0
	})
	waitFor(t, "the long-running tasks run", func() bool { return c.longRunningTasksRun(longRunning, longRunningRnd) })
	for _, line := range w.judge.Violations() {
		t.Error(line)
	}
	t.Logf("seed %d: %d jobs, %d starts, faults %q", seed, len(c.jobs), w.judge.Starts(), injected)
	if t.Failed() {
		for _, line := range left {
			t.Log(line)
		}
		keepLogs(t, w, seed)
	}
}

// keepLogs copies the logs of the processes out of the test's directory.
func keepLogs(t *testing.T, w *world, seed int64) {
	for _, p := range w.procs {
		data, err := os.ReadFile(p.log.Name())
		if err != nil {
			t.Log(err)
			continue
		}
		path := filepath.Join(os.TempDir(), fmt.Sprintf("soak-seed-%d-%s.log", seed, p.name))
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Log(err)
			continue
		}
		t.Log("log kept at ", path)
	}
}

// waitFor waits until ok returns true. It fails the test after settleTime.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Errorf("not within %v: %s", settleTime, what)
}
