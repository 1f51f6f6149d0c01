package cell

import (
	"time"

	"gentianstand/internal/slack"
)

const (
	// speedWeight is the weight of one rank of the stage's preference in a worker's score. It
	// exceeds the weight of fit, which therefore decides only among workers of equal rank.
	speedWeight = 2.0
	// remoteSpeedWeight is added for workers that are remote from a stage's data. Remote tasks
	// take several times as long, which outweighs any difference in speed.
	remoteSpeedWeight = 1000.0
)

// updatePreference computes which speed classes a stage prefers now. Long-running tasks have no
// end to be in time for, and interference decides for best-effort and latency-sensitive tasks.
func (c *Cell) updatePreference(s *stage, now time.Time) {
	s.preference = slack.Order{}
	if !c.speedsDiffer {
		return
	}
	fleet := c.fleets[s.job.record.Service]
	if !fleet.Differs() || s.step.LongRunning || s.step.BestEffort || s.step.TailLatencyTarget > 0 {
		return
	}
	s.preference = fleet.Order(c.slackWork(s, now))
}

// slackWork describes the idle tasks of a stage.
func (c *Cell) slackWork(s *stage, now time.Time) slack.Work {
	after := c.durations.conservative(s.job.record.Queue, s.remainingPath-s.job.ideal(s.step), s.remainingDepth-1)
	return slack.Work{
		Usual: c.usualTaskDuration(s) - s.checkpointedWork(),
		After: time.Duration(c.pace(s) * float64(after)),
		Until: s.job.objective(s, &c.durations).Sub(now),
	}
}

// speedScore returns the part of a worker's score that depends on its speed: 0 while workers are
// equally fast.
func (s *stage) speedScore(w *worker) float64 {
	score := speedWeight * float64(s.preference.Rank(w.speedClass))
	if score > 0 && s.step.DataRack != "" && !s.isLocal(w) {
		score += remoteSpeedWeight
	}
	return score
}
