package cell

import (
	"cmp"
	"slices"
	"time"

	"gentianstand/internal/runner"
)

// placeStage starts as many tasks of a stage as possible, and requests tickets or frees capacity
// for the rest.
func (c *Cell) placeStage(s *stage, view *planView, now time.Time) {
	if c.unparkLocal(s, now) {
		return
	}
	var fitting []candidate
	c.updatePreference(s, now)
	if s.step.Occupied().Fits(view.maxFree) {
		fitting = c.fitting(s, view, now)
	}
	if len(fitting) == 0 {
		c.waitForCapacity(s, view, now)
		view.queue(s, c.startable(s))
		return
	}
	view.fasterWait = false
	if s.step.Gang {
		c.placeGang(s, view, fitting, now)
	} else {
		c.placeTasks(s, view, fitting, now)
	}
	if len(s.idle) == 0 {
		delete(c.waiting, s)
		return
	}
	if view.fasterWait {
		c.askAdvice(s, view, now)
	} else if c.startable(s) > 0 {
		c.waitForCapacity(s, view, now)
	}
	view.queue(s, c.startable(s))
}

// waitForCapacity takes the steps that lead to free capacity for a stage: adviser calls,
// unparking, reservations and preemption.
func (c *Cell) waitForCapacity(s *stage, view *planView, now time.Time) {
	c.askAdvice(s, view, now)
	if c.unparkFor(s, view, now) {
		return
	}
	c.reserve(s, view, now)
	c.preempt(s, view, now)
}

// candidate is a worker that can run a task of a stage now.
type candidate struct {
	w      *worker
	ticket string
	score  float64
}

// fitting returns the workers that may run the stage now and have free capacity for a task,
// best first.
func (c *Cell) fitting(s *stage, view *planView, now time.Time) []candidate {
	var list []candidate
	need := s.step.Occupied()
	localOnly := c.waitsForLocality(s, view, now)
	workers := c.allowed(s, view, now)
	if c.usesTrialWorkers(s, view, now) {
		workers = s.advised(view.trialWorkers, now)
	}
	for _, w := range workers {
		if !w.acceptsJob(s.job) || !need.Fits(w.free()) || !c.eligible(s, w) || localOnly && !s.isLocal(w) || !c.allowedByReservation(s, w, now) {
			continue
		}
		ticket := ""
		if s.job.record.Advice != nil {
			ticket = s.advice.verdicts[w].ticket
		}
		list = append(list, candidate{w, ticket, c.score(s, w)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.w.ID, b.w.ID))
	})
	return list
}

// allowed returns the usable workers for which the stage needs no ticket or holds one that
// expires after until.
func (c *Cell) allowed(s *stage, view *planView, until time.Time) []*worker {
	if s.job.record.Advice == nil {
		return view.usable
	}
	var list []*worker
	for _, issued := range s.advice.live {
		if !until.Before(issued.expiresAt) {
			continue
		}
		for _, w := range issued.workers {
			if w.usablePass == view.pass && s.advice.holds(w, issued.expiresAt) {
				list = append(list, w)
			}
		}
	}
	return list
}

// eligible reports whether a worker may run the stage, regardless of capacity.
func (c *Cell) eligible(s *stage, w *worker) bool {
	if w.Service != s.job.record.Service {
		return false
	}
	if s.step.RequiredLabel != "" && !w.HasLabel(s.step.RequiredLabel) {
		return false
	}
	return s.step.MaxPerWorker == 0 || s.runsPerWorker[w] < s.step.MaxPerWorker
}

// fitsWhenIdle reports whether a worker is eligible for the stage and could hold one of its
// tasks if nothing else ran there.
func (c *Cell) fitsWhenIdle(s *stage, w *worker) bool {
	return c.eligible(s, w) && s.step.Occupied().Fits(w.Capacity)
}

// Weights used by score, where 1 is the whole CPU of a worker. Being remote from the data
// outweighs any fit, and so does interference with a latency-sensitive task.
const (
	remoteWeight       = 10.0
	interferenceWeight = 3.0
)

// score rates a worker for a stage; lower is better. The fullest worker that fits comes first,
// so that large tasks keep finding free capacity. Best-effort and latency-sensitive tasks are
// kept apart where possible. Speed outweighs fit, and locality outweighs speed.
func (c *Cell) score(s *stage, w *worker) float64 {
	free := w.free()
	score := s.speedScore(w) + float64(free.MilliCPU)/float64(max(1, w.Capacity.MilliCPU)) +
		0.5*float64(free.MemoryMiB)/float64(max(1, w.Capacity.MemoryMiB))
	if s.step.DataRack != "" && w.Rack != s.step.DataRack {
		score += remoteWeight
	}
	if s.step.BestEffort && w.latencySensitive > 0 || s.step.TailLatencyTarget > 0 && w.bestEffort > 0 {
		score += interferenceWeight
	}
	if s.step.BestEffort {
		score += float64(w.bestEffort)
	}
	return score
}

// placeTasks starts idle tasks one after the other, as many as fit.
func (c *Cell) placeTasks(s *stage, view *planView, fitting []candidate, now time.Time) {
	need := s.step.Occupied()
	idle := append([]int(nil), s.idle...)
	remaining := c.startable(s)
	// Either all candidates are trial workers or none is.
	onTrial := fitting[0].w.trialPass == view.pass
	for _, index := range idle {
		if remaining == 0 || !view.allowsCPU(s, need.MilliCPU) {
			return
		}
		t := s.tasks[index]
		if t.backsOff(now) {
			continue
		}
		at := c.pick(s, t, fitting, now)
		if at < 0 && len(t.attempts) > 0 {
			// Other tasks may be able to use the worker on which this one already runs.
			continue
		}
		if at < 0 {
			return
		}
		if view.fasterWait = c.waitsForFaster(s, fitting[at].w, remaining, view, now); view.fasterWait {
			return
		}
		c.start(t, fitting[at], t.nextRun(c.settings.Term), now)
		if !onTrial {
			view.freeMilliCPU -= need.MilliCPU
		}
		remaining--
	}
}

// pick returns the index of the first candidate with free capacity for a task, or -1. Workers
// on which the task has failed are used only if no other worker fits.
func (c *Cell) pick(s *stage, t *task, fitting []candidate, now time.Time) int {
	if t.crashes.hasLosses() {
		return c.pickIsolated(s, t, fitting, now)
	}
	fallback := -1
	for i := range fitting {
		w := fitting[i].w
		if !c.canPlace(s, t, w, now) {
			continue
		}
		if !slices.Contains(t.failedOn, w.ID) {
			return i
		}
		if fallback < 0 {
			fallback = i
		}
	}
	return fallback
}

// canPlace reports whether a worker has free capacity for a task and may run it.
func (c *Cell) canPlace(s *stage, t *task, w *worker, now time.Time) bool {
	return s.step.Occupied().Fits(w.free()) && c.eligible(s, w) && t.allowsWorker(w) && c.allowedByReservation(s, w, now)
}

// start accounts for a run and orders its start.
func (c *Cell) start(t *task, target candidate, run uint64, now time.Time) {
	a := &attempt{task: t, run: run, worker: target.w, phase: ordered, orderedAt: now, speedPercent: 100, fromScratch: t.checkpoint == ""}
	t.lastRun, t.lastStartAt = run, now
	t.attempts = append(t.attempts, a)
	t.stage.removeIdle(t.index)
	target.w.addAttempt(a)
	c.useTicket(t.stage, target.w)
	c.isolate(a)
	c.recordSpeed(t.stage, target.w, now)
	c.logInheritedStart(t.stage, now)
	if r := target.w.reserved; r != nil && r.stage == t.stage {
		target.w.reserved = nil
	} else if r != nil {
		r.spare = r.spare.Sub(t.stage.step.Occupied())
	}
	c.stats.Starts++
	c.orders = append(c.orders, StartOrder{Worker: target.w.target, Task: t.id(), Start: runner.Start{
		Task: t.id().String(), Run: run, Spec: t.stage.job.record.Spec, Token: c.settings.Term,
		LeaseUntil: target.w.extendLease(c.settings.Lease, now), Checkpoint: t.checkpoint, Ticket: target.ticket,
	}})
}
