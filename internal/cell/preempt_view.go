package cell

import (
	"time"

	"gentianstand/internal/preemption"
	"gentianstand/internal/quota"
)

// soonShare is the share of the expected time of a stop within which a run must end by itself for a
// stage to wait for it. Some stops take half as long as the mean; with the whole time, urgent work
// beside tasks of 15 s waited 217 ms instead of 143 ms at the 99th percentile.
const soonShare = 0.5

// preemptView caches, for one search for victims by all urgent stages, what the runs on each worker
// allow. Without it, each stage would visit all runs.
type preemptView struct {
	now time.Time
	// stop is the expected time of a stop.
	stop time.Duration
	// searches is the number of stages for which victims may still be searched for.
	searches int
	workers  map[*worker]*preemptWorker
	// works caches the work of jobs.
	works map[*jobState]float64
	// others caches whether workspaces other than one have work on a service.
	others map[accountOnService]bool
}

type accountOnService struct {
	account *quota.Account
	service string
}

// newPreemptView returns the view of a search for victims, or nil if the last one was less than
// searchInterval ago.
func (c *Cell) newPreemptView(now time.Time) *preemptView {
	if now.Sub(c.victimsSearchedAt) < searchInterval {
		return nil
	}
	c.victimsSearchedAt = now
	return &preemptView{now: now, stop: c.stopTimes.Expected(c.settings.StopGrace), searches: maxPreemptSearches, workers: map[*worker]*preemptWorker{}, works: map[*jobState]float64{}, others: map[accountOnService]bool{}}
}

// preemptWorker returns a worker's part of the view.
func (c *Cell) preemptWorker(v *preemptView, w *worker) *preemptWorker {
	if p := v.workers[w]; p != nil {
		return p
	}
	p := &preemptWorker{soonFree: w.free()}
	v.workers[w] = p
	for a := range w.attempts {
		// Runs that are being stopped for a stage are promised to it.
		if a.preemptedFor == nil && c.likelyRemaining(a, v.now) <= time.Duration(soonShare*float64(v.stop)) {
			p.soonFree = p.soonFree.Add(a.task.stage.step.Occupied())
		}
		if c.preemptible(a, v.now) && !a.repeatsWithoutCheckpoint() {
			p.victims = append(p.victims, &preemptCandidate{worker: p, attempt: a, occupied: a.task.stage.step.Occupied(), view: c.runView(a, v)})
		}
	}
	return p
}

// repeatsWithoutCheckpoint reports whether a run of the same task was preempted before, and this one
// has written no checkpoint since. If it was stopped, the task would not get on.
func (a *attempt) repeatsWithoutCheckpoint() bool {
	return a.task.preempted && a.checkpointAt.IsZero()
}

// runView describes a run that may be stopped.
func (c *Cell) runView(a *attempt, v *preemptView) preemption.Run {
	s := a.task.stage
	stop := preemption.Stop{
		Cores:           float64(s.step.Occupied().MilliCPU) / 1000,
		SinceCheckpoint: a.sinceCheckpoint(v.now),
		Takes:           v.stop,
		Slack:           c.slackOf(a, v.now),
		JobWork:         v.workOf(s.job, c),
	}
	return preemption.Run{Lost: stop.Lost(), OverShare: s.job.overShare, Repeated: a.task.preempted}
}

// workOf returns the work of one occurrence of a job, in processor-seconds.
func (v *preemptView) workOf(j *jobState, c *Cell) float64 {
	work, known := v.works[j]
	if !known {
		work = c.jobWork(j)
		v.works[j] = work
	}
	return work
}

// othersHaveWork reports whether a job of another workspace is active on the same service.
func (v *preemptView) othersHaveWork(j *jobState, c *Cell) bool {
	key := accountOnService{j.account, j.record.Service}
	others, known := v.others[key]
	if !known {
		others = c.othersHaveWork(key)
		v.others[key] = others
	}
	return others
}

func (c *Cell) othersHaveWork(than accountOnService) bool {
	for _, j := range c.active {
		if j.account != than.account && j.record.Service == than.service {
			return true
		}
	}
	return false
}

// slackOf returns how long a run's job may be delayed without becoming late.
func (c *Cell) slackOf(a *attempt, now time.Time) time.Duration {
	s := a.task.stage
	after := c.durations.conservative(s.job.record.Queue, s.remainingPath-s.job.ideal(s.step), s.remainingDepth-1)
	end := now.Add(c.likelyRemaining(a, now) + after)
	return s.job.objective(s, &c.durations).Sub(end)
}
