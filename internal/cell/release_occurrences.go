package cell

import "time"

// releaseMargin is added to the lease: an occurrence must have been done for that long before it is
// released, so that none of its runs can still execute unobserved.
const releaseMargin = time.Second

// releaseOccurrences drops the tasks of occurrences that are over from memory. While runs of a previous owner may
// continue unreported, its jobs keep them: the quotas may count copies of their tasks.
func (c *Cell) releaseOccurrences(j *jobState, now time.Time) {
	if c.recovering && j.inherited {
		return
	}
	steps := len(j.record.Steps)
	var kept []*stage
	for i := 0; i < len(j.stages); i += steps {
		stages := j.stages[i : i+steps]
		if c.isOver(stages, now) {
			j.doneOccurrences = j.doneOccurrences.Add(stages[0].id.Occurrence)
			continue
		}
		kept = append(kept, stages...)
	}
	if len(kept) < len(j.stages) {
		j.stages = kept
	}
}

// isOver reports whether an occurrence is done and none of its runs can exist any more.
func (c *Cell) isOver(stages []*stage, now time.Time) bool {
	for _, s := range stages {
		doneAt := s.doneAt
		if doneAt.Before(c.startedAt) {
			doneAt = c.startedAt
		}
		if !s.isDone() || s.runs > 0 || now.Sub(doneAt) < c.settings.Lease+releaseMargin {
			return false
		}
	}
	return true
}
