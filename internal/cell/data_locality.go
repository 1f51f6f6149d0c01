package cell

import "time"

// maxLocalityWaitShare is the longest time a stage waits for free capacity near its data, as a
// share of the time lost by running remotely. Waiting for all of that time would at worst
// double the loss.
const maxLocalityWaitShare = 0.5

// waitsForLocality reports whether a stage waits for free capacity near its data. Elsewhere
// its tasks take several times as long, and most racks have free capacity again within a
// fraction of a task's duration. Long-running tasks do not wait.
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

// isLocal reports whether a worker is in the rack that holds the stage's data. It is false for
// a stage without data.
func (s *stage) isLocal(w *worker) bool {
	return s.step.DataRack != "" && w.Rack == s.step.DataRack
}

// mayRunWhenFree reports whether a worker may run the stage once it has free capacity: it fits
// when idle and the adviser did not deny it.
func (c *Cell) mayRunWhenFree(s *stage, w *worker) bool {
	if !c.fitsWhenIdle(s, w) {
		return false
	}
	verdict, known := s.advice.verdictFor(w)
	return s.job.record.Advice == nil || !known || verdict.approved
}
