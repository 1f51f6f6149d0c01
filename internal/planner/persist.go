package planner

import (
	"gentianstand/internal/platform"
	"gentianstand/internal/run"
)

// maxRows bounds the rows of one write.
const maxRows = 400

// Batch is one group commit: rows of many runs, and the actions that become
// possible once they are written.
type Batch struct {
	Puts    []platform.Put
	Deletes []string
	// starts are released after the write, waiters are called with its result,
	// and acks are then sent to the owners.
	starts  []start
	waiters []func(error)
	acks    []ack
	runs    []string
	removed []string
}

// Empty reports whether there is nothing to write.
func (b *Batch) Empty() bool { return len(b.Puts)+len(b.Deletes) == 0 }

// Changes returns the next batch to write. At most one batch may be in
// progress. Pass its result to Committed or CommitFailed.
func (c *Core) Changes() (*Batch, error) {
	b := &Batch{}
	for _, id := range sortedKeys(c.changed) {
		if len(b.Puts) >= maxRows {
			break
		}
		e := c.changed[id]
		if err := c.collect(b, e); err != nil {
			return nil, err
		}
		delete(c.changed, id)
	}
	b.starts = c.takeStarts(b.runs)
	return b, nil
}

func (c *Core) collect(b *Batch, e *entry) error {
	if e.removed {
		c.collectRemoval(b, e)
		return nil
	}
	if e.head {
		value, err := e.run.HeadValue()
		if err != nil {
			return err
		}
		b.Puts = append(b.Puts, platform.Put{Key: run.HeadKey(e.run.ID), Value: value})
	}
	chunks := run.Chunks(len(e.run.Tasks))
	for chunk := range e.chunks {
		if chunk >= chunks {
			continue
		}
		value, err := e.run.ChunkValue(chunk)
		if err != nil {
			return err
		}
		b.Puts = append(b.Puts, platform.Put{Key: run.ChunkKey(e.run.ID, chunk), Value: value})
	}
	for chunk := chunks; chunk < e.stored; chunk++ {
		b.Deletes = append(b.Deletes, run.ChunkKey(e.run.ID, chunk))
	}
	e.stored = chunks
	e.head = false
	e.chunks = map[int]bool{}
	b.waiters = append(b.waiters, e.waiters...)
	b.acks = append(b.acks, e.acks...)
	e.waiters, e.acks, e.writing = nil, nil, true
	b.runs = append(b.runs, e.run.ID)
	return nil
}

func (c *Core) collectRemoval(b *Batch, e *entry) {
	b.Deletes = append(b.Deletes, run.HeadKey(e.run.ID))
	for chunk := range e.stored {
		b.Deletes = append(b.Deletes, run.ChunkKey(e.run.ID, chunk))
	}
	b.removed = append(b.removed, e.run.ID)
	b.runs = append(b.runs, e.run.ID)
}

// takeStarts removes and returns the decided starts whose runs are in the
// batch.
func (c *Core) takeStarts(runs []string) []start {
	in := make(map[string]bool, len(runs))
	for _, id := range runs {
		in[id] = true
	}
	var now, later []start
	for _, s := range c.decided {
		if in[s.task.run] {
			now = append(now, s)
		} else {
			later = append(later, s)
		}
	}
	c.decided = later
	return now
}

// Committed records that a batch has been written. Its starts are released, and
// workers may forget the attempts whose ends it holds.
func (c *Core) Committed(b *Batch) {
	c.clearWriting(b)
	c.releaseStarts(b.starts)
	for _, id := range b.removed {
		c.Forget(id)
	}
	for _, a := range b.acks {
		c.outbox.ack(a.worker, a.boot, a.ref)
	}
	for _, notify := range b.waiters {
		notify(nil)
	}
}

// CommitFailed queues the rows of a batch again that may not have been written.
// In a confirmed outage its repeatable starts are released all the same: no
// other planner can act then, and a later planner accounts for the workers
// first. Waiters get the error, because the outcome of the write is not known.
func (c *Core) CommitFailed(b *Batch, outage bool, err error) {
	c.clearWriting(b)
	for _, id := range b.runs {
		if e, ok := c.runs[id]; ok {
			if !e.removed {
				e.markAllChanged()
			}
			c.markChanged(e)
		}
	}
	for _, a := range b.acks {
		e := c.runs[a.ref.Run]
		e.acks = append(e.acks, a)
	}
	for _, notify := range b.waiters {
		notify(err)
	}
	c.decided = append(b.starts, c.decided...)
	if outage {
		c.ReleaseUnwritten()
	}
}

func (c *Core) clearWriting(b *Batch) {
	for _, id := range b.runs {
		if e, ok := c.runs[id]; ok {
			e.writing = false
		}
	}
}

// releaseStarts queues starts for sending. A start whose task has a newer
// attempt is skipped, because the row of that attempt has not been written yet.
func (c *Core) releaseStarts(starts []start) {
	for _, s := range starts {
		if c.unwritten[s.task] == s.attempt {
			delete(c.unwritten, s.task)
			c.sendStart(s.task)
		}
	}
}

// ReleaseUnwritten releases decided starts in a confirmed outage, when nothing
// can be written. It releases only repeatable work: if the worker restarts and
// this planner dies, no record of the start is left, and the next planner
// starts the task again, which is safe only for such work.
func (c *Core) ReleaseUnwritten() {
	var remaining []start
	for _, s := range c.decided {
		if !c.repeatable(s.task) {
			remaining = append(remaining, s)
			continue
		}
		c.releaseStarts([]start{s})
	}
	c.decided = remaining
}

func (c *Core) repeatable(key taskKey) bool {
	e, ok := c.runs[key.run]
	return ok && e.repeatable()
}

// Dirty reports whether there are changes to write.
func (c *Core) Dirty() bool { return len(c.changed) > 0 }
