package cellowner

import (
	"context"
	"time"

	"gentianstand/internal/upkeep"
)

const (
	// wavesPeriod is how often the waves are read: a wave takes some ten seconds at
	// least.
	wavesPeriod = time.Second
	// upkeepPeriod is how often a wave that goes on is planned, and the fleet's list
	// is read for it; the fleet serves some dozens of readings a second.
	upkeepPeriod = 300 * time.Millisecond
	// upkeepTimeout bounds a call to the fleet. A slow one takes some hundred
	// milliseconds.
	upkeepTimeout = time.Second
)

// upkeepLoop sees to the waves of upkeep until ctx ends.
func (o *Owner) upkeepLoop(ctx context.Context) {
	if o.deps.Maintenance.Source == nil {
		return
	}
	u := &upkeeper{owner: o, MaintenanceDeps: o.deps.Maintenance, beganAt: time.Now(), trackers: map[uint64]*upkeep.Tracker{}}
	for {
		u.readWaves(ctx)
		next := time.Now().Add(wavesPeriod)
		for len(u.trackers) > 0 && time.Now().Before(next) {
			u.tend(ctx)
			if !wait(ctx, upkeepPeriod) {
				return
			}
		}
		if !wait(ctx, time.Until(next)) {
			return
		}
	}
}
