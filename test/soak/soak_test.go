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
	"sync"
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

// longRunningRestartTime limits the wait for the long-running tasks after the last fault. A take-over, a
// lease and a restarted worker take some 6 s.
const longRunningRestartTime = 20 * time.Second

// regressionTime is how long faults were injected when the seeds in regressions failed.
const regressionTime = 12 * time.Second

// TestSoak runs the seeds of the flags, one after the other.
func TestSoak(t *testing.T) {
	soakSeeds(t, planFor(faults))
}

// plan is what a soak does.
type plan struct {
	faults []fault
	shape  shape
	// inTurn is set if the faults are injected one at a time.
	inTurn bool
}

// planFor returns the plan for a list of faults, several at a time.
func planFor(faults []fault) plan {
	return plan{faults: faults, shape: shapeFor(len(faults))}
}

// soakSeeds runs the seeds of the flags with a plan.
func soakSeeds(t *testing.T, p plan) {
	var first, last int
	if _, err := fmt.Sscanf(*seedRange, "%d-%d", &first, &last); err != nil {
		t.Fatalf("-seeds %q: %v", *seedRange, err)
	}
	binary := build(t)
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			soak(t, binary, int64(seed), time.Duration(*seconds)*time.Second, p)
		})
	}
}

// TestSoakRestarts runs the seeds with additional restarts of workers under their ids.
func TestSoakRestarts(t *testing.T) {
	soakSeeds(t, planFor(slices.Concat(faults, slices.Repeat(faults[beforeRestarts:beforeSilence], restartShare))))
}

// Guards against connections that are kept although they are silent for good, with one fault at a time,
// so that the next one does not hide what the one before left behind.
func TestSoakSilence(t *testing.T) {
	soakSeeds(t, plan{faults: faults[beforeSilence:], shape: shapeFor(len(faults)), inTurn: true})
}

// TestSoakPoison runs the seeds with additional poison tasks.
func TestSoakPoison(t *testing.T) {
	soakSeeds(t, planFor(slices.Concat(faults, slices.Repeat([]fault{poison}, poisonShare))))
}

// TestSoakWorkspaces runs the seeds with additional key replacements and quota changes.
func TestSoakWorkspaces(t *testing.T) {
	soakSeeds(t, planFor(slices.Concat(faults, slices.Repeat(workspaceFaults, workspaceShare))))
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
			soak(t, binary, r.seed, regressionTime, planFor(faults[:r.faults]))
		})
	}
}

// buildDir holds the program that all tests run.
var buildDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	buildDir = dir
	status := m.Run()
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(status)
}

// buildOnce builds the program the first time.
var buildOnce = sync.OnceValues(func() (string, error) {
	binary := filepath.Join(buildDir, "gentianstand")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/gentianstand").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return binary, nil
})

func build(t *testing.T) string {
	t.Helper()
	binary, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	return binary
}

func soak(t *testing.T, binary string, seed int64, length time.Duration, p plan) {
	rnd := rand.New(rand.NewSource(seed))
	w := newWorld(t, binary, int(seed), p.shape)
	waitFor(t, "all processes are ready", settleTime, func() bool {
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
	longRunningTasksRun := func() bool { return c.longRunningTasksRun(longRunning, longRunningRnd) }
	var back []time.Duration
	recovered := func() {
		back = append(back, waitFor(t, "the long-running tasks run again", longRunningRestartTime, longRunningTasksRun))
	}
	var injected []string
	if p.inTurn {
		injected = injectInTurn(ctx, w, rnd, p.faults, recovered)
	} else {
		injected = injectFaults(ctx, w, rnd, p.faults)
	}
	recovered()
	<-callersDone
	var left []string
	waitFor(t, "all accepted jobs have ended", settleTime, func() bool {
		left = c.unfinished(rnd)
		return len(left) == 0
	})
	waitFor(t, "the long-running tasks run", settleTime, longRunningTasksRun)
	for _, line := range w.judge.Violations() {
		t.Error(line)
	}
	t.Logf("seed %d: %d jobs, %d starts, long-running tasks back after %v, faults %q", seed, len(c.jobs), w.judge.Starts(), back, injected)
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

// waitFor waits until ok returns true, and returns how long that took. It fails the test after limit.
func waitFor(t *testing.T, what string, limit time.Duration, ok func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < limit {
		if ok() {
			return time.Since(began).Round(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("not within %v: %s", limit, what)
	return limit
}
