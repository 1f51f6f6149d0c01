package cellowner

import (
	"context"
	"slices"
	"time"

	"gentianstand/internal/upkeep"
)

// record stores the state of a wave and reports whether that succeeded. If it fails after an answer,
// the next owner orders the machines again, and the fleet answers that they have had their
// maintenance.
func (c *maintenanceController) record(ctx context.Context, wave uint64) bool {
	t := c.trackers[wave]
	w := storedWave{begun: t.BegunMachines(), ordered: t.OrderedMachines(), version: c.versions[wave]}
	version, err := c.owner.storeWave(ctx, wave, w)
	if err != nil {
		c.versions[wave] = orderedRowVersion(err, wave, w.version)
		c.owner.deps.Log.WithField("wave", wave).WithError(err).Info("upkeep_not_stored")
		return false
	}
	c.versions[wave], c.recorded[wave] = version, w.ordered
	return true
}

// recordOrders stores the machines that are about to be ordered, with one write for each wave, and
// returns the orders that may be sent. An order that is not stored would be unknown to a successor,
// and could be carried out while that one orders other machines of the wave.
func (c *maintenanceController) recordOrders(ctx context.Context, orders []upkeep.Order) []upkeep.Order {
	byWave := map[uint64][]upkeep.Order{}
	for _, order := range orders {
		byWave[order.Wave] = append(byWave[order.Wave], order)
	}
	var sendable []upkeep.Order
	for wave, list := range byWave {
		if c.allRecorded(wave, list) || c.record(ctx, wave) {
			sendable = append(sendable, list...)
			continue
		}
		for _, order := range list {
			c.trackers[wave].MarkUnanswered(order.Machine, time.Now())
		}
	}
	return sendable
}

// allRecorded reports whether the store lists all machines of the orders as ordered.
func (c *maintenanceController) allRecorded(wave uint64, orders []upkeep.Order) bool {
	return !slices.ContainsFunc(orders, func(o upkeep.Order) bool { return !slices.Contains(c.recorded[wave], o.Machine) })
}
