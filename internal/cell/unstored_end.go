package cell

// unstoredEnd is an end that may not be stored yet.
type unstoredEnd struct {
	sequence uint64
	task     *task
	run      uint64
}

// addUnstoredEnd keeps an end until it is acknowledged, which requires that it is stored.
func (w *worker) addUnstoredEnd(e unstoredEnd) {
	for len(w.unstoredEnds) > 0 && w.unstoredEnds[0].sequence <= w.ackedEnd {
		w.unstoredEnds = w.unstoredEnds[1:]
	}
	w.unstoredEnds = append(w.unstoredEnds, e)
}

// endsStored reports whether all recorded ends of a worker are stored.
func (w *worker) endsStored() bool { return w.ackedEnd == w.seenEnd }

// addUnstoredEnds adds to a worker's stored entry the ended runs whose jobs will not be stored with
// it. The next owner would not know that they have ended, and start their tasks again.
func (c *Cell) addUnstoredEnds(k *KnownWorker, w *worker) {
	if !k.Cordoned {
		return
	}
	for _, e := range w.unstoredEnds {
		if _, dirty := c.dirtyJobs[e.task.stage.job]; dirty && e.sequence > w.ackedEnd {
			k.Runs = append(k.Runs, KnownRun{Task: e.task.id().String(), Run: e.run})
			c.dirtyChunks.mark(w.ID)
		}
	}
}
