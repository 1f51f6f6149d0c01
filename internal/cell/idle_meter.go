package cell

import "time"

// maxIdlePeriod bounds the time between two planning passes that counts as idle: after a pause of
// the process, nothing is known of the time between.
const maxIdlePeriod = time.Second

// meterIdle adds the free processors to those that were free while tasks waited, for the time since
// the last planning pass. view is nil if none waits.
func (c *Cell) meterIdle(view *planView, now time.Time) {
	since := now.Sub(c.idleMeteredAt)
	c.idleMeteredAt = now
	if view == nil || len(c.waiting) == 0 || since > maxIdlePeriod {
		return
	}
	c.stats.IdleCoreSeconds += float64(view.freeMilliCPU) / milliCPUPerCore * since.Seconds()
}

// milliCPUPerCore converts thousandths of a core to cores.
const milliCPUPerCore = 1000
