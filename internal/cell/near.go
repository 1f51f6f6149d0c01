package cell

import "time"

// nearPatience is the share of the time lost by running far from the data for which a
// stage waits for room near it. Waiting for all of it would at worst double the loss.
const nearPatience = 0.5

// waitsForNear reports whether a stage waits for room near its data. Elsewhere its tasks
// take several times as long, and most racks have room again within a fraction of a task.
// That means nothing for tasks that last.
func (c *Cell) waitsForNear(s *stage, room *room, now time.Time) bool {
	if s.step.DataRack == "" || s.step.LongRunning || c.settings.RemoteDataFactor <= 1 || !c.uses(DataLocality) {
		return false
	}
	loss := (c.settings.RemoteDataFactor - 1) * float64(s.step.Estimate)
	if now.Sub(s.readyAt) >= time.Duration(nearPatience*loss) {
		return false
	}
	for _, w := range room.rack(s.step.DataRack) {
		if c.mayRunNear(s, w) {
			return true
		}
	}
	return false
}

// near reports whether a worker stands where the stage has its data. No worker is near
// a stage without data.
func (s *stage) near(w *worker) bool {
	return s.step.DataRack != "" && w.Rack == s.step.DataRack
}

// mayRunNear reports whether a worker near the data will do when it has room.
func (c *Cell) mayRunNear(s *stage, w *worker) bool {
	if !c.hasRoomEmpty(s, w) {
		return false
	}
	verdict, known := s.advice.about(w)
	return s.job.record.Advice == nil || !known || verdict.good
}
