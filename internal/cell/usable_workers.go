package cell

import (
	"time"

	"gentianstand/internal/advicebudget"
	"gentianstand/internal/resource"
)

// usableWorkers returns the workers for a call whose tickets the stage can use: those that will have
// capacity for its tasks beside the stages ahead. atAnswer is set if one of them will when the
// answer is due. It returns none if the stage holds enough tickets or a call would start too little.
func (c *Cell) usableWorkers(s *stage, view *planView, now time.Time) (ids []string, atAnswer bool) {
	cost := s.job.record.Advice
	answer := now.Add(c.budget.times.Expected(cost.Duration(typicalCallSize)))
	wanted := float64(min(int64(c.startable(s)), view.budget.spareMilliCPU/max(1, s.step.Occupied().MilliCPU)))
	seed := stageHash(s)
	candidates := c.candidateBuf[:0]
	for i, w := range view.usable {
		if !c.fitsWhenIdle(s, w) {
			continue
		}
		v, known := s.advice.verdictFor(w)
		if known && !v.approved {
			continue
		}
		soon, later := c.forecast(w, cost, now)
		candidate := advicebudget.Candidate{
			AtAnswer: c.tasksIn(s, w, soon), AtExpiry: c.tasksIn(s, w, later),
			Allowed: known, Preferred: s.isLocal(w), TieBreak: tieBreak(seed, w.idHash), Index: i,
		}
		if known && !answer.After(v.expiresAt) {
			wanted -= candidate.AtAnswer
			continue
		}
		if candidate.AtExpiry > 0 {
			candidates = append(candidates, candidate)
		}
	}
	c.candidateBuf = candidates
	if wanted <= 0 {
		// The tickets expire soon, so the pause before the next scan must not grow.
		s.advice.scanDelay = 0
		return nil, false
	}
	demand := advicebudget.Demand{Tasks: wanted, AllowedShare: c.budget.shares.Of(s.job.record.Queue), Together: s.step.Gang}
	for _, index := range advicebudget.Choose(candidates, demand) {
		w := view.usable[index]
		ids = append(ids, w.ID)
		soon, _ := c.forecast(w, cost, now)
		atAnswer = atAnswer || c.tasksIn(s, w, soon) > 0
	}
	return ids, atAnswer
}

// tasksIn returns how many tasks of a stage fit into an amount of a worker's capacity.
func (c *Cell) tasksIn(s *stage, w *worker, free resource.Amount) float64 {
	n := s.step.Occupied().CountIn(free, int64(len(s.idle)))
	if s.step.MaxPerWorker > 0 {
		n = min(n, int64(s.step.MaxPerWorker-s.runsPerWorker[w]))
	}
	return float64(n)
}
