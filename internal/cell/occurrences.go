package cell

import (
	"slices"
	"sort"
	"time"

	"gentianstand/internal/job"
)

const (
	// occurrenceLead is how long before its earliest start an occurrence is created.
	occurrenceLead = 5 * time.Second
	// occurrencePeriod is the interval between checks of which occurrences of a job are due or over.
	occurrencePeriod = 500 * time.Millisecond
	// stageCost is the memory that a stage takes besides its tasks, in tasks: some 1,000 bytes to 300.
	stageCost = 4
	// maxJobCost and maxCellCost bound the tasks of occurrences that are not done, of one job and of all
	// together; see occurrenceCost. 100,000 take some 30 MB, and the smallest instances have 144 MB. The
	// first occurrence of each job that is not done is not bounded.
	maxJobCost  = 10_000
	maxCellCost = 100_000
	// maxLongRunningCost is the bound of a job with long-running tasks, whose occurrences do not end. It covers
	// all that is accepted in one job. A job of more that an earlier version has accepted has the usual bound.
	maxLongRunningCost = (1 + stageCost) * job.MaxTasks
)

// updateOccurrences creates the occurrences that are due soon and releases those that are over.
func (c *Cell) updateOccurrences(now time.Time) {
	for j := range c.scheduled {
		if now.Sub(j.occurrencesUpdatedAt) < occurrencePeriod {
			continue
		}
		j.occurrencesUpdatedAt = now
		c.releaseOccurrences(j, now)
		c.createOccurrences(j, now)
	}
}

// createOccurrences creates the occurrences of a job that are due soon, earliest first, while there is
// room for their tasks.
func (c *Cell) createOccurrences(j *jobState, now time.Time) {
	limit := min(maxJobCost, maxCellCost/len(c.scheduled))
	if j.record.LongRunning() && j.record.AllMayExist() {
		limit = maxLongRunningCost
	}
	unfinished := j.unfinishedOccurrences()
	for j.nextOccurrence < j.record.Occurrences() {
		k := j.nextOccurrence
		if j.record.DueAt(k).After(now.Add(occurrenceLead + c.settings.EarlyStart)) {
			return
		}
		if !j.doneOccurrences.Contains(k) && !j.hasOccurrence(k) {
			if unfinished > 0 && (unfinished+1)*j.occurrenceCost() > limit {
				return
			}
			c.createOccurrence(j, k)
			unfinished++
		}
		j.nextOccurrence++
	}
}

// occurrenceCost returns the memory that an occurrence takes, in tasks.
func (j *jobState) occurrenceCost() int {
	cost := stageCost * len(j.record.Steps)
	for i := range j.record.Steps {
		cost += j.record.Steps[i].Count
	}
	return cost
}

// createOccurrence creates the stages of an occurrence. Those of an occurrence that is done are created
// done, to account for a run that is reported late.
func (c *Cell) createOccurrence(j *jobState, k int) {
	stages := make([]*stage, len(j.record.Steps))
	for i := range stages {
		stages[i] = newStage(j, k, i)
		stages[i].siblings = stages
		stages[i].remainingPath, stages[i].remainingDepth = j.remainingPaths[i], j.remainingDepths[i]
		for _, before := range j.record.Steps[i].DependsOn {
			stages[i].predecessors = append(stages[i].predecessors, stages[before])
		}
		if j.doneOccurrences.Contains(k) {
			stages[i].setDone()
		}
	}
	j.stages = slices.Insert(j.stages, j.occurrenceIndex(k)*len(stages), stages...)
	if c.active[j.record.ID] != j {
		return
	}
	for _, s := range stages {
		c.updateWaiting(s)
	}
}

// setDone marks all tasks of a new stage as done.
func (s *stage) setDone() {
	for _, t := range s.tasks {
		t.done = true
	}
	s.done, s.idle = len(s.tasks), nil
}

// occurrenceIndex returns the position among the created occurrences that an occurrence has or would have.
func (j *jobState) occurrenceIndex(k int) int {
	steps := len(j.record.Steps)
	return sort.Search(len(j.stages)/steps, func(i int) bool { return j.stages[i*steps].id.Occurrence >= k })
}

func (j *jobState) hasOccurrence(k int) bool { return j.existingStage(k, 0) != nil }

// existingStage returns a stage if its occurrence was created, or nil.
func (j *jobState) existingStage(occurrence, step int) *stage {
	steps := len(j.record.Steps)
	if step < 0 || step >= steps {
		return nil
	}
	at := j.occurrenceIndex(occurrence) * steps
	if at >= len(j.stages) || j.stages[at].id.Occurrence != occurrence {
		return nil
	}
	return j.stages[at+step]
}

// stage returns the stage of an occurrence and step, or nil if the job has none. It creates the
// occurrence: a previous owner has started it, or a run of it is reported after its release.
func (c *Cell) stage(j *jobState, occurrence, step int) *stage {
	if occurrence < 0 || occurrence >= j.record.Occurrences() || step < 0 || step >= len(j.record.Steps) {
		return nil
	}
	if !j.hasOccurrence(occurrence) {
		c.createOccurrence(j, occurrence)
	}
	return j.existingStage(occurrence, step)
}

// unfinishedOccurrences returns the number of created occurrences that are not done.
func (j *jobState) unfinishedOccurrences() int {
	n := 0
	steps := len(j.record.Steps)
	for i := 0; i < len(j.stages); i += steps {
		if !allDone(j.stages[i : i+steps]) {
			n++
		}
	}
	return n
}

func allDone(stages []*stage) bool {
	return !slices.ContainsFunc(stages, func(s *stage) bool { return !s.isDone() })
}

// allDone reports whether every occurrence is done.
func (j *jobState) allDone() bool {
	if !allDone(j.stages) {
		return false
	}
	if j.record.Schedule == nil {
		return true
	}
	done := j.doneOccurrences.Count()
	for i := 0; i < len(j.stages); i += len(j.record.Steps) {
		if !j.doneOccurrences.Contains(j.stages[i].id.Occurrence) {
			done++
		}
	}
	return done == j.record.Occurrences()
}
