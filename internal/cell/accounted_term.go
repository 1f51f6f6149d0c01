package cell

import "time"

// firstTerm is the term of the first owner of a cell.
const firstTerm = 1

// termOf returns the term of the owner that used a run number.
func termOf(run uint64) uint64 { return (max(run, 1)-1)/runsPerTerm + firstTerm }

// recordAccounted records that this owner has accounted for all runs of the owners before it, and that
// none of those gives orders any more, once that is so. The store tells the next owners. The recovery can
// end earlier: an owner that lost the store can start nothing then, but still extend leases.
func (c *Cell) recordAccounted(now time.Time) {
	if c.recovering || now.Before(c.previousOwnerStopsBy()) || c.accountedTerm >= c.settings.Term || !c.allRunsAccounted() {
		return
	}
	c.accountedTerm = c.settings.Term
	for id, w := range c.workers {
		if !w.parked {
			// One entry is enough.
			c.dirtyChunks.mark(id)
			return
		}
	}
}

// disregardOwnersBeforePredecessor takes all previous owners for stopped if the last one has stopped
// and had recorded that none of the owners before it gives orders any more.
func (c *Cell) disregardOwnersBeforePredecessor() {
	if c.settings.PredecessorStopped && c.accountedTerm+1 >= c.settings.Term {
		c.settings.PreviousOwnerStopped = true
	}
}

// allRunsAccounted reports whether no run of a previous owner is left beyond those that this owner
// accounts for, and no task has more runs than one owner starts.
func (c *Cell) allRunsAccounted() bool {
	for _, w := range c.workers {
		if len(w.uncountedRuns) > 0 {
			return false
		}
		for a := range w.attempts {
			if len(a.task.attempts) > maxConcurrentRuns {
				return false
			}
		}
	}
	return true
}

// repeatsNoRun reports whether the run cannot be a repetition of one that an owner before its own has
// seen succeed, and whose successors that one has started unnoticed: its own owner, or one after
// that, has accounted for all runs of the owners before.
func (c *Cell) repeatsNoRun(a *attempt) bool {
	term := termOf(a.run)
	return term == c.settings.Term || term <= c.accountedTerm
}

// earlierOwners returns the number of owners before this one that may have left runs which no other
// of them has accounted for: the last one that had accounted for all, and those after it.
func (c *Cell) earlierOwners() int {
	return max(1, int(c.settings.Term)-int(min(c.accountedTerm, c.settings.Term)))
}
