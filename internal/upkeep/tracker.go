package upkeep

import (
	"math"
	"sort"
	"time"
)

const (
	// evacuationEstimate is the expected duration of a worker's evacuation: runs need time
	// to stop, and long-running tasks are moved one after the other.
	evacuationEstimate = 2500 * time.Millisecond
	// evacuationTimeout bounds a worker's evacuation. Runs that cannot be stopped without
	// losing work are ended then, because they would delay the wave.
	evacuationTimeout = 6 * time.Second
	// retryInterval is the time between two orders for a machine that did not respond or
	// was busy. The fleet accepts a few dozen calls per second from all instances together.
	retryInterval = 500 * time.Millisecond
	// plannedShare is the share of the wave's target duration that the plan uses. The rest is
	// reserved for busy machines and for a failover of the owner.
	plannedShare = 0.6
)

// Tracker tracks the progress of one wave. It is not safe for concurrent use.
type Tracker struct {
	wave Wave
	// duration is how long the maintenance of one machine takes.
	duration time.Duration
	seenAt   time.Time
	machines map[string]*progress
}

// NewTracker returns a tracker of a wave that was first seen at now. duration is how long the
// maintenance of one machine takes, and begunMachines lists the machines whose maintenance is
// known to have begun already.
func NewTracker(w Wave, duration time.Duration, begunMachines []string, now time.Time) *Tracker {
	t := &Tracker{wave: w, duration: duration, seenAt: now, machines: map[string]*progress{}}
	for _, name := range w.Machines {
		t.machines[name] = &progress{}
	}
	for _, name := range begunMachines {
		if p := t.machines[name]; p != nil {
			p.stage = done
		}
	}
	return t
}

// Wave returns the wave that the tracker was created for.
func (t *Tracker) Wave() Wave { return t.wave }

// Plan returns the next actions for the wave. listed holds all machines by name; load
// returns the runs that remain on a worker. Evacuated workers offer no capacity, so Plan
// evacuates no more of them at once than the wave's target duration requires.
func (t *Tracker) Plan(now time.Time, listed map[string]Machine, load func(worker string) Load) Plan {
	plan := Plan{Terminated: t.newlyTerminated(listed)}
	t.observe(now, listed)
	t.startEvacuations(now, listed, load)
	free := t.freeSlots(listed)
	for _, name := range t.wave.Machines {
		p := t.machines[name]
		switch {
		case p.stage == evacuating:
			plan.Evacuate = append(plan.Evacuate, p.worker)
			if free > 0 && listed[name].Up && t.mayBegin(p, load(p.worker), now) {
				plan.Begin = append(plan.Begin, name)
				free--
			}
		case p.stage == ordered:
			plan.Evacuate = append(plan.Evacuate, p.worker)
			if !p.inFlight && !now.Before(p.retryAt) && t.mayFence(p, listed[name], load(p.worker), now) {
				plan.Begin = append(plan.Begin, name)
			}
		case p.stage == begun && !p.terminated:
			plan.Evacuate = append(plan.Evacuate, p.worker)
		}
	}
	plan.Completed = t.count(func(p *progress) bool { return p.stage < begun || t.awaitsListing(p, now) }) == 0
	return plan
}

// observe updates the machines' progress from the fleet's listing. A machine that no longer
// exists needs no maintenance.
func (t *Tracker) observe(now time.Time, listed map[string]Machine) {
	for name, p := range t.machines {
		m, exists := listed[name]
		switch {
		case !exists:
			p.stage = done
		case p.inherited && p.orderedAt.IsZero():
			p.observeInherited(m, now)
		case p.down() && m.InMaintenance:
			p.seenDown = true
		case p.stage == begun && m.Up && p.finished(m, t.duration, now):
			p.stage = done
		case p.stage == evacuating && m.Up && m.Worker != p.worker:
			// The worker crashed. Its next incarnation has to be evacuated, too.
			p.worker = m.Worker
		}
	}
}

// freeSlots returns how many more machines may begin now. A machine that is in maintenance without an
// order of this tracker counts, too: a previous owner recorded it as begun, or it is down for another
// wave.
func (t *Tracker) freeSlots(listed map[string]Machine) int {
	free := t.wave.MaxConcurrent
	for name, p := range t.machines {
		if p.stage == ordered && p.inherited {
			return 0
		}
		if p.down() || listed[name].InMaintenance {
			free--
		}
	}
	return free
}

// awaitsListing reports whether the fleet has confirmed a maintenance and may not have listed it yet.
func (t *Tracker) awaitsListing(p *progress, now time.Time) bool {
	return p.stage == begun && !p.terminated && now.Sub(p.begunAt) < t.duration
}

// newlyTerminated returns the workers that have ended with the maintenance of their machines and were
// not returned before. The answer to an order does not show that: if a previous owner could not store
// that the maintenance had begun, it may have been over long before.
func (t *Tracker) newlyTerminated(listed map[string]Machine) []Termination {
	var list []Termination
	for name, p := range t.machines {
		m, exists := listed[name]
		if !p.down() || p.terminated || p.orderedAt.IsZero() || !exists {
			continue
		}
		if m.InMaintenance || m.Worker != "" && m.Worker != p.worker {
			p.terminated = true
			list = append(list, Termination{Worker: p.worker, OrderedAt: p.orderedAt})
		}
	}
	return list
}

// startEvacuations starts as many evacuations as the wave's target duration requires, on the
// machines with the fewest runs first.
func (t *Tracker) startEvacuations(now time.Time, listed map[string]Machine, load func(worker string) Load) {
	busy := t.count(func(p *progress) bool { return p.stage == evacuating || p.down() })
	more := t.targetParallelism(now) - busy
	if more <= 0 {
		return
	}
	var candidates []candidate
	for _, name := range t.wave.Machines {
		m := listed[name]
		if t.machines[name].stage == waiting && m.Up {
			candidates = append(candidates, candidate{name, m.Worker, load(m.Worker).Runs})
		}
	}
	sort.SliceStable(candidates, func(a, b int) bool { return candidates[a].runs < candidates[b].runs })
	for _, c := range candidates[:min(more, len(candidates))] {
		*t.machines[c.machine] = progress{stage: evacuating, worker: c.worker, evacuatingSince: now}
	}
}

// targetParallelism returns how many machines to evacuate or maintain at once: the smallest
// number with which the wave still finishes in time.
func (t *Tracker) targetParallelism(now time.Time) int {
	planned := plannedShare * t.wave.TargetDuration.Seconds()
	if now.Sub(t.seenAt).Seconds() > planned {
		return t.wave.MaxConcurrent
	}
	rounds := max(1, math.Floor(planned/(evacuationEstimate+t.duration).Seconds()))
	needed := int(math.Ceil(float64(len(t.wave.Machines)) / rounds))
	return max(1, min(needed, t.wave.MaxConcurrent))
}

// mayBegin reports whether the maintenance of a machine may begin. A worker that was chosen in
// this pass may still get a run before the plan is carried out, so it waits for the next pass.
func (t *Tracker) mayBegin(p *progress, l Load, now time.Time) bool {
	if !now.After(p.evacuatingSince) {
		return false
	}
	return l.Runs == 0 || !l.Protected && now.Sub(p.evacuatingSince) >= evacuationTimeout
}

func (t *Tracker) count(is func(*progress) bool) int {
	n := 0
	for _, p := range t.machines {
		if is(p) {
			n++
		}
	}
	return n
}

// MarkOrdered records that an order for the maintenance of a machine is being sent.
func (t *Tracker) MarkOrdered(machine string, now time.Time) {
	p := t.machines[machine]
	p.stage, p.inFlight = ordered, true
	if p.orderedAt.IsZero() {
		p.orderedAt = now
	}
}

// MarkBegun records that the maintenance of a machine has begun, and returns the worker for which
// it was ordered.
func (t *Tracker) MarkBegun(machine string, now time.Time) (worker string) {
	p := t.machines[machine]
	p.stage, p.inFlight, p.begunAt, p.inherited = begun, false, now, false
	return p.worker
}

// MarkUnanswered records that an order may have been carried out or may still be. The order
// is retried until it is answered.
func (t *Tracker) MarkUnanswered(machine string, now time.Time) {
	p := t.machines[machine]
	p.inFlight, p.retryAt = false, now.Add(retryInterval)
}

// MarkNotInWave records that a machine does not belong to the wave.
func (t *Tracker) MarkNotInWave(machine string) {
	p := t.machines[machine]
	p.stage, p.inFlight, p.inherited = done, false, false
}

// BegunMachines returns the machines whose maintenance has begun. The list is stored, so that
// the next owner resumes the wave.
func (t *Tracker) BegunMachines() []string {
	var names []string
	for _, name := range t.wave.Machines {
		if t.machines[name].stage >= begun {
			names = append(names, name)
		}
	}
	return names
}
