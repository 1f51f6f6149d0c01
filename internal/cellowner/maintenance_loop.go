package cellowner

import (
	"context"
	"time"

	"gentianstand/internal/upkeep"
)

const (
	// wavesReadInterval is how often the waves are read. A wave takes at least about 10 s.
	wavesReadInterval = time.Second
	// reconcileInterval is how often the open waves are reconciled, which reads the list of
	// machines from the fleet. The fleet serves a few dozen reads per second.
	reconcileInterval = 300 * time.Millisecond
	// fleetTimeout bounds a call to the fleet. A slow one takes a few hundred milliseconds.
	fleetTimeout = time.Second
)

// maintenanceLoop carries out maintenance waves until ctx ends.
func (o *Owner) maintenanceLoop(ctx context.Context) {
	if o.deps.Maintenance.Source == nil {
		return
	}
	c := &maintenanceController{owner: o, MaintenanceDeps: o.deps.Maintenance, startedAt: time.Now(), trackers: map[uint64]*upkeep.Tracker{},
		recorded: map[uint64][]string{}, versions: map[uint64]uint64{}}
	for {
		c.readWaves(ctx)
		next := time.Now().Add(wavesReadInterval)
		for len(c.trackers) > 0 && time.Now().Before(next) {
			c.reconcile(ctx)
			if !sleep(ctx, reconcileInterval) {
				return
			}
		}
		if !sleep(ctx, time.Until(next)) {
			return
		}
	}
}
