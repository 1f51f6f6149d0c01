package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/preemption"
	"gentianstand/internal/resource"
)

const (
	// maxPreemptSearches bounds the stages for which victims are searched for in one pass. Each search
	// visits all runs, which takes some 50 microseconds with 350 workers.
	maxPreemptSearches = 16
	// searchInterval is the least time between two passes with searches. A stop takes 0.2 to 0.9 s, and
	// each such pass visits all runs.
	searchInterval = 50 * time.Millisecond
	// costlyInterval is the least time until the next search for a stage for which stops were too
	// costly. Checkpoints, which lower the costs, come every 0.5 to 2 s.
	costlyInterval = 150 * time.Millisecond
)

// preemptWithinBudget stops runs for a stage if less work is lost than is in time because of it. All
// urgent stages search in the same pass, in their order, so that none counts on capacity that becomes
// free for another.
func (c *Cell) preemptWithinBudget(s *stage, view *planView, now time.Time) {
	v := view.preempt
	if v == nil {
		return
	}
	c.countUrgent(s, view, now)
	if c.startable(s) <= s.preempting {
		return
	}
	demand := c.demandOf(s, view, now)
	if refusal := demand.Refusal(v.stop); refusal != "" {
		c.stats.PreemptionsRefused[refusal]++
		return
	}
	// The tickets must outlast a stop.
	workers := c.preemptWorkers(s, view, now.Add(c.settings.StopGrace))
	demand.Tasks -= promiseSoonFree(s, workers, demand.Tasks)
	if demand.Tasks == 0 || s.job.age(now) < preemptAfter || v.searches == 0 || now.Before(s.victimsSearchedAt.Add(costlyInterval)) {
		return
	}
	v.searches--
	candidates, views := candidatesFor(s, workers, demand.Tasks)
	verdict := preemption.Choose(demand, v.stop, views)
	if verdict.Refusal != "" {
		s.victimsSearchedAt = now
		c.stats.PreemptionsRefused[verdict.Refusal]++
		return
	}
	for _, i := range verdict.Victims {
		candidate := candidates[i]
		candidate.worker.take(candidate, s.step.Occupied())
		c.stopFor(s, candidate.attempt, candidate.view.Frees, now)
	}
	s.preemptionLost += verdict.Lost
	c.stats.PreemptionLost += verdict.Lost
	c.logPreemption(s, demand, verdict)
}

func (c *Cell) logPreemption(s *stage, d preemption.Demand, v preemption.Verdict) {
	c.log.WithFields(logrus.Fields{"stage": s.id.String(), "workspace": s.job.record.Workspace, "tasks": d.Tasks, "runs": len(v.Victims),
		"lost_core_ms": int64(1000 * v.Lost), "budget_core_ms": int64(1000 * d.Budget), "slack_ms": d.Slack.Milliseconds()}).Info("runs_preempted")
}

// preemptWorkers returns the workers that may run a stage with a ticket that is valid until a time.
func (c *Cell) preemptWorkers(s *stage, view *planView, until time.Time) []*preemptWorker {
	allowed := c.allowed(s, view, until)
	list := make([]*preemptWorker, 0, len(allowed))
	for _, w := range allowed {
		if w.acceptsJob(s.job) && c.eligible(s, w) {
			list = append(list, c.preemptWorker(view.preempt, w))
		}
	}
	return list
}

// demandOf describes the tasks of a stage that wait for capacity.
func (c *Cell) demandOf(s *stage, view *planView, now time.Time) preemption.Demand {
	return preemption.Demand{
		Tasks:     c.startable(s) - s.preempting,
		Slack:     s.latestStart(&c.durations).Sub(now),
		Budget:    view.preempt.workOf(s.job, c) - s.lostForOccurrence(),
		OverShare: s.job.overShare && view.preempt.othersHaveWork(s.job, c),
		Saturated: !view.urgent.fits(s),
	}
}

// promiseSoonFree returns for how many tasks of a stage capacity becomes free without a stop.
func promiseSoonFree(s *stage, workers []*preemptWorker, missing int) int {
	found := 0
	for _, p := range workers {
		if found == missing {
			break
		}
		found += p.promise(s.step.Occupied(), missing-found)
	}
	return found
}

// candidatesFor returns, for each worker, the run that is best stopped for a stage.
func candidatesFor(s *stage, workers []*preemptWorker, missing int) ([]*preemptCandidate, []preemption.Run) {
	candidates := make([]*preemptCandidate, 0, len(workers))
	views := make([]preemption.Run, 0, len(workers))
	for _, p := range workers {
		if candidate := p.best(s.step.Occupied(), missing); candidate != nil {
			candidates, views = append(candidates, candidate), append(views, candidate.view)
		}
	}
	return candidates, views
}

// sinceCheckpoint returns the run time that is not part of a reported checkpoint.
func (a *attempt) sinceCheckpoint(now time.Time) time.Duration {
	if a.checkpointAt.IsZero() {
		return a.elapsed(now)
	}
	return now.Sub(a.checkpointAt)
}

// recordCheckpoint records when a run first reported a checkpoint.
func (a *attempt) recordCheckpoint(checkpoint string, now time.Time) {
	if checkpoint != a.task.checkpoint {
		a.checkpointAt = now
	}
}

// recordStopTime records how long a run took to end after its stop was ordered. Where a worker
// does not answer, that is no sign of the time that stops take.
func (c *Cell) recordStopTime(a *attempt, now time.Time) {
	if a.phase == stopping && !a.stopAnsweredAt.IsZero() {
		c.stopTimes.Add(now.Sub(a.firstStopAt))
	}
}

// jobWork returns the work of one occurrence of a job, in processor-seconds.
func (c *Cell) jobWork(j *jobState) float64 {
	sum := 0.0
	for i := range j.record.Steps {
		step := &j.record.Steps[i]
		sum += coreSeconds(step.Occupied(), time.Duration(step.Count)*c.durations.conservative(j.record.Queue, step.Estimate, 1))
	}
	return sum
}

// lostForOccurrence returns the work that was lost by stops for the stages of the same occurrence.
func (s *stage) lostForOccurrence() float64 {
	sum := 0.0
	for _, other := range s.job.stages {
		if other.id.Occurrence == s.id.Occurrence {
			sum += other.preemptionLost
		}
	}
	return sum
}

func coreSeconds(need resource.Amount, d time.Duration) float64 {
	return float64(need.MilliCPU) / 1000 * d.Seconds()
}
