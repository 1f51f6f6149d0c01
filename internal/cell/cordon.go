package cell

import (
	"sort"
	"time"
)

// unresponsiveAfter is how long polls must have failed before a worker is cordoned. Single
// answers get lost, and each change is a store write.
const unresponsiveAfter = 250 * time.Millisecond

// updateCordon cordons a worker that is unresponsive or draining, and uncordons it later. The
// stored entry of a cordoned worker guarantees that no run was started there since, and lists
// all runs that may still be there. A new owner then holds back only those tasks.
func (c *Cell) updateCordon(w *worker, now time.Time) {
	if !c.enabled(Cordoning) {
		return
	}
	cordoned := w.Draining || w.unresponsive(now) || (w.cordoned && !w.reported)
	if c.recovering && w.mayHaveEarlierRuns() {
		// The runs that may still be there are not known.
		cordoned = false
	}
	if cordoned == w.cordoned {
		return
	}
	w.cordoned = cordoned
	w.stored = false
	c.dirtyChunks.mark(w.ID)
}

// unresponsive reports whether polls of a worker have failed for unresponsiveAfter.
func (w *worker) unresponsive(now time.Time) bool {
	return !w.unresponsiveSince.IsZero() && now.Sub(w.unresponsiveSince) >= unresponsiveAfter
}

// knownWorker returns the worker's entry to store.
func (w *worker) knownWorker() KnownWorker {
	k := KnownWorker{ID: w.ID, Incarnation: w.incarnation, Address: w.Address, Cordoned: w.cordoned}
	if !w.cordoned {
		return k
	}
	for a := range w.attempts {
		k.Runs = append(k.Runs, KnownRun{Task: a.task.id().String(), Run: a.run})
	}
	k.Runs = append(k.Runs, w.uncountedRuns...)
	sort.Slice(k.Runs, func(a, b int) bool { return k.Runs[a].Task < k.Runs[b].Task })
	return k
}

// clearUncountedRuns handles the end of a worker's uncounted runs: the worker has reported, or its
// lease must have expired.
func (c *Cell) clearUncountedRuns(w *worker) {
	if len(w.uncountedRuns) > 0 {
		w.uncountedRuns = nil
		c.dirtyChunks.mark(w.ID)
	}
}

// restoreRuns accounts for the runs that may be on a cordoned worker, as if it had reported
// them. They are dropped when the worker's report does not contain them or its lease must have
// expired.
func (c *Cell) restoreRuns(w *worker, runs []KnownRun, now time.Time) {
	w.cordoned, w.accounted = true, true
	for _, r := range runs {
		t := c.taskByName(r.Task)
		if t == nil || t.stage.job.final != "" || t.stage.step.AllowDuplicates {
			w.uncountedRuns = append(w.uncountedRuns, r)
			if t != nil {
				c.inferPredecessorsDone(t.stage, now)
			}
			continue
		}
		if t.done {
			continue
		}
		if r.Run < t.lastRun || t.find(w, r.Run) != nil {
			continue
		}
		c.dropSuperseded(t, r.Run, now)
		c.adopt(t, w, r.Run, now).inherited = true
	}
}

// dropSuperseded drops inherited runs of a task for which a later run is reported. An owner
// restarts a task only when its previous run has certainly ended.
func (c *Cell) dropSuperseded(t *task, run uint64, now time.Time) {
	for i := len(t.attempts) - 1; i >= 0; i-- {
		if a := t.attempts[i]; a.inherited && a.run < run {
			c.drop(a, "superseded", now)
		}
	}
}
