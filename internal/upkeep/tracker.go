package upkeep

import (
	"math"
	"sort"
	"time"
)

const (
	// evacuationEstimate is about how long it takes to empty a worker: stops take a while, and
	// lasting tasks are moved one after the other.
	evacuationEstimate = 2500 * time.Millisecond
	// evacuationTimeout is how long a worker is given to become empty. What cannot be
	// stopped without losing its work is ended then: it would hold the wave up.
	evacuationTimeout = 6 * time.Second
	// retryInterval is the time between two orders for a machine that did not answer or
	// was busy; the fleet takes some dozens of calls a second from all instances.
	retryInterval = 500 * time.Millisecond
	// plannedShare of the wave's time is planned with; the rest is for machines that are
	// busy and for an owner that is lost meanwhile.
	plannedShare = 0.6
)

// Tracker follows one wave. It is not safe for concurrent use.
type Tracker struct {
	wave Wave
	// duration is how long one upkeep takes.
	duration time.Duration
	seenAt   time.Time
	machines map[string]*progress
}

// NewTracker returns a tracker of a wave that was first seen at now. had are the
// machines that are known to have begun already.
func NewTracker(w Wave, lasts time.Duration, had []string, now time.Time) *Tracker {
	t := &Tracker{wave: w, duration: lasts, seenAt: now, machines: map[string]*progress{}}
	for _, name := range w.Machines {
		t.machines[name] = &progress{}
	}
	for _, name := range had {
		if p := t.machines[name]; p != nil {
			p.stage = done
		}
	}
	return t
}

// Wave returns the wave.
func (t *Tracker) Wave() Wave { return t.wave }

// Plan says what to do now. listed are all machines by name, load tells what runs on a
// worker. As few machines are emptied at once as still finish in the wave's time: their
// room is gone meanwhile.
func (t *Tracker) Plan(now time.Time, listed map[string]Machine, load func(worker string) Load) Plan {
	t.observe(now, listed)
	t.startEvacuations(now, listed, load)
	var plan Plan
	free := t.wave.MaxConcurrent - t.count((*progress).down)
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
			if !p.inFlight && !now.Before(p.retryAt) {
				plan.Begin = append(plan.Begin, name)
			}
		}
	}
	plan.Completed = t.count(func(p *progress) bool { return p.stage < begun }) == 0
	return plan
}

// observe takes in what the fleet lists. A machine that is gone needs no upkeep.
func (t *Tracker) observe(now time.Time, listed map[string]Machine) {
	for name, p := range t.machines {
		m, there := listed[name]
		switch {
		case !there:
			p.stage = done
		case p.down() && m.InMaintenance:
			p.seenDown = true
		case p.stage == begun && m.Up && p.finished(m, t.duration, now):
			p.stage = done
		case p.stage == evacuating && m.Up && m.Worker != p.worker:
			// The worker crashed, and its next life has to be emptied, too.
			p.worker = m.Worker
		case p.stage == waiting && m.InMaintenance:
			// Ordered by an earlier owner.
			p.stage = ordered
			p.worker, p.seenDown = m.Worker, true
		}
	}
}

// startEvacuations has as many machines emptied as the wave's time asks for, those with the
// fewest runs first.
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
	for _, chosen := range candidates[:min(more, len(candidates))] {
		*t.machines[chosen.machine] = progress{stage: evacuating, worker: chosen.worker, evacuatingSince: now}
	}
}

// targetParallelism is how many machines are in work at once: as few as still finish in time.
func (t *Tracker) targetParallelism(now time.Time) int {
	planned := plannedShare * t.wave.TargetDuration.Seconds()
	if now.Sub(t.seenAt).Seconds() > planned {
		return t.wave.MaxConcurrent
	}
	rounds := max(1, math.Floor(planned/(evacuationEstimate+t.duration).Seconds()))
	needed := int(math.Ceil(float64(len(t.wave.Machines)) / rounds))
	return max(1, min(needed, t.wave.MaxConcurrent))
}

// mayBegin reports whether the upkeep of a machine may begin. A worker that is chosen in
// this pass may still get a run until the plan is carried out.
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

// MarkOrdered takes in that the upkeep of a machine is being ordered.
func (t *Tracker) MarkOrdered(machine string, now time.Time) {
	p := t.machines[machine]
	p.stage, p.inFlight = ordered, true
	if p.orderedAt.IsZero() {
		p.orderedAt = now
	}
}

// MarkBegun takes in that the upkeep of a machine was begun, and returns the worker whose
// life ended with it, and when that was ordered first.
func (t *Tracker) MarkBegun(machine string, now time.Time) (worker string, orderedAt time.Time) {
	p := t.machines[machine]
	p.stage, p.inFlight, p.begunAt = begun, false, now
	return p.worker, p.orderedAt
}

// MarkUnanswered takes in that an order may have been carried out, or may be yet. It is
// repeated until it is answered.
func (t *Tracker) MarkUnanswered(machine string, now time.Time) {
	p := t.machines[machine]
	p.inFlight, p.retryAt = false, now.Add(retryInterval)
}

// MarkNotInWave takes in that a machine does not belong to the wave.
func (t *Tracker) MarkNotInWave(machine string) {
	p := t.machines[machine]
	p.stage, p.inFlight = done, false
}

// BegunMachines returns the machines whose upkeep has begun, for an owner after this one.
func (t *Tracker) BegunMachines() []string {
	var names []string
	for _, name := range t.wave.Machines {
		if t.machines[name].stage >= begun {
			names = append(names, name)
		}
	}
	return names
}
