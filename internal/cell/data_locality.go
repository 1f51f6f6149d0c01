package cell

import "time"

// maxLocalityWaitShare is the share of the time lost by running far from the data for which a
// stage waits for room near it. Waiting for all of it would at worst double the loss.
const maxLocalityWaitShare = 0.5

// waitsForLocality reports whether a stage waits for room near its data. Elsewhere its tasks
// take several times as long, and most racks have room again within a fraction of a task.
// That means nothing for tasks that last.
func (c *Cell) waitsForLocality(s *stage, view *planView, now time.Time) bool {
	if s.step.DataRack == "" || s.step.LongRunning || c.settings.RemoteDataFactor <= 1 || !c.enabled(DataLocality) {
		return false
	}
	loss := (c.settings.RemoteDataFactor - 1) * float64(s.step.Estimate)
	if now.Sub(s.readyAt) >= time.Duration(maxLocalityWaitShare*loss) {
		return false
	}
	for _, w := range view.rack(s.step.DataRack) {
		if c.mayRunWhenFree(s, w) {
			return true
		}
	}
	return false
}

// isLocal reports whether a worker stands where the stage has its data. No worker is isLocal
// a stage without data.
func (s *stage) isLocal(w *worker) bool {
	return s.step.DataRack != "" && w.Rack == s.step.DataRack
}

// mayRunWhenFree reports whether a worker near the data will do when it has room.
func (c *Cell) mayRunWhenFree(s *stage, w *worker) bool {
	if !c.fitsWhenIdle(s, w) {
		return false
	}
	verdict, known := s.advice.verdictFor(w)
	return s.job.record.Advice == nil || !known || verdict.good
}
