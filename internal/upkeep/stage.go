package upkeep

import "time"

// stage is how far a machine of a wave has come.
type stage int

const (
	// waiting machines are not touched yet.
	waiting stage = iota
	// evacuating machines get nothing new.
	evacuating
	// ordered machines were ordered to begin, and have not answered.
	ordered
	// begun machines are down for their upkeep.
	begun
	// done machines are up again, or do not belong to the wave.
	done
)

// progress is what is known of one machine of a wave.
type progress struct {
	stage stage
	// worker is the id of the machine's worker before the upkeep.
	worker string
	// orderedAt is when the upkeep was ordered first, begunAt when it was known to have
	// begun.
	orderedAt, begunAt time.Time
	// seenDown says that the machine was listed as down for the upkeep.
	seenDown bool
	// evacuatingSince is when it began to be emptied.
	evacuatingSince time.Time
	// inFlight says that an order is under way; after one without an answer the next
	// one goes out at retryAt.
	inFlight bool
	retryAt  time.Time
}

// finished reports whether the upkeep of a machine that is up again is finished. The next worker
// may have the id of the one before, and the time when the machine was down may have gone by
// between two lists.
func (p *progress) finished(m Machine, lasts time.Duration, now time.Time) bool {
	return m.Worker != p.worker || p.seenDown || now.Sub(p.begunAt) >= lasts
}

// down reports whether the machine is or may be down for its upkeep. An order
// without an answer may be carried out seconds later.
func (p *progress) down() bool { return p.stage == ordered || p.stage == begun }
