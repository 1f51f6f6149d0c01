package upkeep

import (
	"math"
	"sort"
	"time"
)

const (
	// emptyGuess is about how long it takes to empty a worker: stops take a while, and
	// lasting tasks are moved one after the other.
	emptyGuess = 2500 * time.Millisecond
	// emptyPatience is how long a worker is given to become empty. What cannot be
	// stopped without losing its work is ended then: it would hold the wave up.
	emptyPatience = 6 * time.Second
	// retryPause is the time between two orders for a machine that did not answer or
	// was busy; the fleet takes some dozens of calls a second from all instances.
	retryPause = 500 * time.Millisecond
	// usedShare of the wave's time is planned with; the rest is for machines that are
	// busy and for an owner that is lost meanwhile.
	usedShare = 0.6
)

// Tracker follows one wave. It is not safe for concurrent use.
type Tracker struct {
	wave Wave
	// lasts is how long one upkeep takes.
	lasts    time.Duration
	seenAt   time.Time
	machines map[string]*progress
}

// NewTracker returns a tracker of a wave that was first seen at now. had are the
// machines that are known to have begun already.
func NewTracker(w Wave, lasts time.Duration, had []string, now time.Time) *Tracker {
	t := &Tracker{wave: w, lasts: lasts, seenAt: now, machines: map[string]*progress{}}
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
	t.choose(now, listed, load)
	var plan Plan
	free := t.wave.MaxConcurrent - t.count((*progress).down)
	for _, name := range t.wave.Machines {
		p := t.machines[name]
		switch {
		case p.stage == emptying:
			plan.Evacuate = append(plan.Evacuate, p.worker)
			if free > 0 && listed[name].Up && t.ready(p, load(p.worker), now) {
				plan.Begin = append(plan.Begin, name)
				free--
			}
		case p.stage == ordered:
			plan.Evacuate = append(plan.Evacuate, p.worker)
			if !p.sending && !now.Before(p.retryAt) {
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
		case p.stage == begun && m.Up && p.over(m, t.lasts, now):
			p.stage = done
		case p.stage == emptying && m.Up && m.Worker != p.worker:
			// The worker crashed, and its next life has to be emptied, too.
			p.worker = m.Worker
		case p.stage == waiting && m.InMaintenance:
			// Ordered by an earlier owner.
			p.stage = ordered
			p.worker, p.seenDown = m.Worker, true
		}
	}
}

// choose has as many machines emptied as the wave's time asks for, those with the
// fewest runs first.
func (t *Tracker) choose(now time.Time, listed map[string]Machine, load func(worker string) Load) {
	busy := t.count(func(p *progress) bool { return p.stage == emptying || p.down() })
	more := t.parallel(now) - busy
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
		*t.machines[chosen.machine] = progress{stage: emptying, worker: chosen.worker, since: now}
	}
}

// parallel is how many machines are in work at once: as few as still finish in time.
func (t *Tracker) parallel(now time.Time) int {
	planned := usedShare * t.wave.TargetDuration.Seconds()
	if now.Sub(t.seenAt).Seconds() > planned {
		return t.wave.MaxConcurrent
	}
	rounds := max(1, math.Floor(planned/(emptyGuess+t.lasts).Seconds()))
	needed := int(math.Ceil(float64(len(t.wave.Machines)) / rounds))
	return max(1, min(needed, t.wave.MaxConcurrent))
}

// ready reports whether the upkeep of a machine may begin. A worker that is chosen in
// this pass may still get a run until the plan is carried out.
func (t *Tracker) ready(p *progress, l Load, now time.Time) bool {
	if !now.After(p.since) {
		return false
	}
	return l.Runs == 0 || !l.Protected && now.Sub(p.since) >= emptyPatience
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
	p.stage, p.sending = ordered, true
	if p.orderedAt.IsZero() {
		p.orderedAt = now
	}
}

// MarkBegun takes in that the upkeep of a machine was begun, and returns the worker whose
// life ended with it, and when that was ordered first.
func (t *Tracker) MarkBegun(machine string, now time.Time) (worker string, orderedAt time.Time) {
	p := t.machines[machine]
	p.stage, p.sending, p.begunAt = begun, false, now
	return p.worker, p.orderedAt
}

// MarkUnanswered takes in that an order may have been carried out, or may be yet. It is
// repeated until it is answered.
func (t *Tracker) MarkUnanswered(machine string, now time.Time) {
	p := t.machines[machine]
	p.sending, p.retryAt = false, now.Add(retryPause)
}

// MarkNotInWave takes in that a machine does not belong to the wave.
func (t *Tracker) MarkNotInWave(machine string) {
	p := t.machines[machine]
	p.stage, p.sending = done, false
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
