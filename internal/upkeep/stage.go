package upkeep

import "time"

// stage is the progress of a machine within its wave.
type stage int

const (
	// waiting machines are not affected by the wave yet.
	waiting stage = iota
	// evacuating machines get no new runs.
	evacuating
	// ordered machines have an order to begin that is not confirmed yet.
	ordered
	// begun machines are down for maintenance.
	begun
	// done machines are up again after maintenance, or do not belong to the wave.
	done
)

// progress is the state of one machine of a wave.
type progress struct {
	stage stage
	// worker is the ID of the machine's worker before the maintenance.
	worker string
	// orderedAt is when the maintenance was first ordered, begunAt when its start was
	// confirmed.
	orderedAt, begunAt time.Time
	// terminated is set once the worker was reported in Plan.Terminated.
	terminated bool
	// seenDown is set once the machine was listed as down for maintenance.
	seenDown bool
	// evacuatingSince is when the evacuation of the worker began.
	evacuatingSince time.Time
	// inFlight is set while an order awaits its response. After an order without a
	// response, the next one is sent at retryAt.
	inFlight bool
	retryAt  time.Time
	// inherited is set while an order of a previous owner may still be carried out; see Inherit.
	inherited bool
}

// finished reports whether the maintenance of a machine that is up again is over. A changed
// worker ID is not required: the next worker may have the ID of the previous one. Nor is a
// listing as down: the machine may have been down only between two listings.
func (p *progress) finished(m Machine, duration time.Duration, now time.Time) bool {
	return m.Worker != p.worker || p.seenDown || now.Sub(p.begunAt) >= duration
}

// down reports whether the machine is or may be down for maintenance. An order without a
// response may be carried out seconds later.
func (p *progress) down() bool { return p.stage == ordered || p.stage == begun }
