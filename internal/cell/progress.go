package cell

import (
	"slices"
	"time"

	"gentianstand/internal/job"
)

// progress returns a job's progress in its stored form, without the parts if it is split.
func (j *jobState) progress() *job.Progress {
	p := &job.Progress{Final: j.final, Split: j.split}
	if j.final != "" {
		p.EndedAtMillis = j.endedAt.UnixMilli()
	}
	for _, s := range j.stages {
		if kept, any := s.progress(); any {
			p.Stages = append(p.Stages, kept)
		}
	}
	if len(j.doneOccurrences) > 0 {
		j.listDone(p)
	}
	return p
}

func (s *stage) progress() (job.StageProgress, bool) {
	p := job.StageProgress{Occurrence: s.id.Occurrence, Step: s.id.Step}
	for _, t := range s.tasks {
		if t.done {
			p.SetDone(t.index)
			continue
		}
		if t.hasProgress() && !s.job.split {
			p.Tasks = append(p.Tasks, t.progress())
		}
	}
	return p, len(p.Done) > 0 || len(p.Tasks) > 0
}

// hasProgress reports whether the task is not done and has progress to store.
func (t *task) hasProgress() bool {
	return !t.done && (len(t.failedRuns) > 0 || t.checkpoint != "" || t.lastRun > 0)
}

// progress returns the stored form of an unfinished task.
func (t *task) progress() job.TaskProgress {
	return job.TaskProgress{Index: t.index, FailedRuns: t.failedRuns,
		LastRun: t.lastRun, Checkpoint: t.checkpoint, CrashedRuns: slices.Clone(t.crashes.crashed), CrashedAtStart: t.crashes.immediate, CrashedLater: t.crashes.later,
		LostRuns: slices.Clone(t.crashes.unresponsive), LostAtMillis: t.crashes.lostAtMillis()}
}

// restore sets the progress of a newly loaded job from its stored form.
func (c *Cell) restore(j *jobState, p *job.Progress, now time.Time) {
	j.final = p.Final
	j.storedState = p.Final
	j.split = p.Split
	for _, id := range p.StoredParts {
		j.setPart(id, unknownContent)
	}
	if p.EndedAtMillis > 0 {
		j.endedAt = time.UnixMilli(p.EndedAtMillis)
	}
	j.restoreDone(p)
	j.started = len(j.doneOccurrences) > 0
	for i := range p.Stages {
		kept := &p.Stages[i]
		if j.doneOccurrences.Contains(kept.Occurrence) {
			continue
		}
		if s := c.stage(j, kept.Occurrence, kept.Step); s != nil {
			s.restore(kept, now)
			j.started = true
		}
	}
}

func (s *stage) restore(p *job.StageProgress, now time.Time) {
	for _, t := range s.tasks {
		if p.IsDone(t.index) {
			t.done = true
			s.done++
			s.removeIdle(t.index)
		}
	}
	for _, kept := range p.Tasks {
		if kept.Index >= len(s.tasks) {
			continue
		}
		t := s.tasks[kept.Index]
		t.failedRuns = kept.FailedRuns
		t.lastRun = kept.LastRun
		t.checkpoint = kept.Checkpoint
		t.crashes = crashHistory{crashed: kept.CrashedRuns, immediate: kept.CrashedAtStart, later: kept.CrashedLater, unresponsive: kept.LostRuns, lostAt: lostAtFrom(kept.LostAtMillis, now)}
		s.lostWorkers = s.lostWorkers || t.crashes.hasLosses()
	}
}
