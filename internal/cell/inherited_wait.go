package cell

import "time"

// inheritedWait measures how long a stage of an older job waits for its first start under this
// owner. If the stage has nothing to place for a while, because runs of all its tasks were found, the
// time before that does not count.
type inheritedWait struct {
	// over is set once this owner has ordered a start.
	over bool
	// since is when the wait began, and placing is the last pass over the waiting stages in which
	// the stage was due.
	since   time.Time
	placing uint64
	// held is set if the stage was held back in that pass, and heldFor is for how long it was.
	held    bool
	heldFor time.Duration
}

// due records that the stage is due in a pass over the waiting stages, and whether it is held back.
func (i *inheritedWait) due(placing uint64, held bool, now time.Time) {
	if i.over {
		return
	}
	if i.since.IsZero() || i.placing+1 != placing {
		*i = inheritedWait{since: now}
	}
	if i.held {
		i.heldFor = now.Sub(i.since)
	}
	i.placing, i.held = placing, held
}
