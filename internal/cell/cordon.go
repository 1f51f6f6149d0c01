package cell

import (
	"sort"
	"time"
)

// unresponsiveAfter is how long a worker must have been silent to be closed. Single
// answers get lost, and each closing and opening is a write.
const unresponsiveAfter = 250 * time.Millisecond

// updateCordon closes a worker that is silent or leaves, and opens it again. The store
// says of a closed worker that nothing was started there since, and what may still be
// there, so that a new owner holds back those tasks alone.
func (c *Cell) updateCordon(w *worker, now time.Time) {
	if !c.enabled(Cordoning) {
		return
	}
	cordoned := w.Draining || w.unresponsive(now) || (w.cordoned && !w.reported)
	if c.recovering && w.mayHaveEarlierRuns() {
		// What may still be there is not known.
		cordoned = false
	}
	if cordoned == w.cordoned {
		return
	}
	w.cordoned = cordoned
	w.stored = false
	c.dirtyChunks.mark(w.ID)
}

// unresponsive reports whether a worker has not answered for some time.
func (w *worker) unresponsive(now time.Time) bool {
	return !w.unresponsiveSince.IsZero() && now.Sub(w.unresponsiveSince) >= unresponsiveAfter
}

// knownWorker returns what to store of a worker.
func (w *worker) knownWorker() KnownWorker {
	k := KnownWorker{ID: w.ID, Incarnation: w.incarnation, Address: w.Address, Cordoned: w.cordoned}
	if !w.cordoned {
		return k
	}
	for a := range w.attempts {
		k.Runs = append(k.Runs, KnownRun{Task: a.task.id().String(), Run: a.run})
	}
	sort.Slice(k.Runs, func(a, b int) bool { return k.Runs[a].Task < k.Runs[b].Task })
	return k
}

// restoreRuns books the runs that may be on a closed worker, as if it had
// reported them. They go when it reports, or when its lease must have ended.
func (c *Cell) restoreRuns(w *worker, runs []KnownRun, now time.Time) {
	w.cordoned, w.accounted = true, true
	for _, r := range runs {
		t := c.taskByName(r.Task)
		if t == nil || t.done || t.stage.job.final != "" || t.stage.step.AllowDuplicates {
			continue
		}
		if r.Run < t.lastRun || t.find(w, r.Run) != nil {
			continue
		}
		c.dropSuperseded(t, r.Run, now)
		c.adopt(t, w, r.Run, now).inherited = true
	}
}

// dropSuperseded drops inherited runs of a task of which a later run is reported: an
// owner starts a task again only when its run before has certainly ended.
func (c *Cell) dropSuperseded(t *task, run uint64, now time.Time) {
	for i := len(t.attempts) - 1; i >= 0; i-- {
		if a := t.attempts[i]; a.inherited && a.run < run {
			c.drop(a, "superseded", now)
		}
	}
}
