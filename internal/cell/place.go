package cell

import (
	"cmp"
	"slices"
	"time"

	"gentianstand/internal/runner"
)

// placeStage starts what it can of a stage and asks for advice or makes room
// for the rest.
func (c *Cell) placeStage(s *stage, room *room, now time.Time) {
	if c.wakeNear(s, now) {
		return
	}
	var fitting []candidate
	if s.step.Occupied().Fits(room.most) {
		fitting = c.fitting(s, room, now)
	}
	if len(fitting) == 0 {
		c.waitForRoom(s, room, now)
		return
	}
	if s.step.Gang {
		c.placeGang(s, room, fitting, now)
	} else {
		c.placeTasks(s, room, fitting, now)
	}
	if len(s.idle) == 0 {
		delete(c.waiting, s)
		return
	}
	if c.startable(s) > 0 {
		c.waitForRoom(s, room, now)
	}
}

// waitForRoom does what brings a stage nearer to a place.
func (c *Cell) waitForRoom(s *stage, room *room, now time.Time) {
	c.askAdvice(s, room, now)
	if c.wakeFor(s, room, now) {
		return
	}
	c.reserve(s, room, now)
	c.preempt(s, room, now)
}

// candidate is a worker that may take a task of a stage now.
type candidate struct {
	w      *worker
	ticket string
	score  float64
}

// fitting returns the workers that may run the stage now and have room for a
// task, best first.
func (c *Cell) fitting(s *stage, room *room, now time.Time) []candidate {
	var list []candidate
	need := s.step.Occupied()
	nearOnly := c.waitsForNear(s, room, now)
	workers := c.allowed(s, room, now)
	if c.placesOnTrial(s, room, now) {
		workers = s.advised(room.onTrial, now)
	}
	for _, w := range workers {
		if !w.openTo(s.job) || !need.Fits(w.free()) || !c.eligible(s, w) || nearOnly && !s.near(w) || !c.leftFor(s, w, now) {
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

// allowed returns the usable workers for which the stage needs no ticket or has
// one that is valid until later than until.
func (c *Cell) allowed(s *stage, room *room, until time.Time) []*worker {
	if s.job.record.Advice == nil {
		return room.usable
	}
	var list []*worker
	for w := range s.advice.verdicts {
		if w.usableIn == room.pass && s.advice.allows(w, until) {
			list = append(list, w)
		}
	}
	return list
}

// eligible reports whether a worker may ever run the stage.
func (c *Cell) eligible(s *stage, w *worker) bool {
	if w.Service != s.job.record.Service {
		return false
	}
	if s.step.RequiredLabel != "" && !w.HasLabel(s.step.RequiredLabel) {
		return false
	}
	return s.step.MaxPerWorker == 0 || s.perWorker[w] < s.step.MaxPerWorker
}

// hasRoomEmpty reports whether a worker may ever run the stage and has room for a task
// of it when nothing else runs there.
func (c *Cell) hasRoomEmpty(s *stage, w *worker) bool {
	return c.eligible(s, w) && s.step.Occupied().Fits(w.Capacity)
}

// The weights of score, in shares of a worker: being far from the data counts
// more than any fit, disturbing a serving task more than fit.
const (
	farWeight     = 10.0
	disturbWeight = 3.0
)

// score tells how well a worker suits a stage; less is better. The fullest
// worker that fits comes first, so that large tasks keep finding room. Tasks
// that fill and tasks that serve keep apart where they can.
func (c *Cell) score(s *stage, w *worker) float64 {
	free := w.free()
	score := float64(free.MilliCPU)/float64(max(1, w.Capacity.MilliCPU)) +
		0.5*float64(free.MemoryMiB)/float64(max(1, w.Capacity.MemoryMiB))
	if s.step.DataRack != "" && w.Rack != s.step.DataRack {
		score += farWeight
	}
	if s.step.BestEffort && w.servers > 0 || s.step.TailLatencyTarget > 0 && w.fillers > 0 {
		score += disturbWeight
	}
	if s.step.BestEffort {
		score += float64(w.fillers)
	}
	return score
}

// placeTasks starts as many idle tasks as fit, one after the other.
func (c *Cell) placeTasks(s *stage, room *room, fitting []candidate, now time.Time) {
	need := s.step.Occupied()
	idle := append([]int(nil), s.idle...)
	left := c.startable(s)
	// The candidates are avoided workers, or none of them is.
	onTrial := fitting[0].w.onTrialIn == room.pass
	for _, index := range idle {
		if left == 0 || !room.allows(s, need.MilliCPU) {
			return
		}
		t := s.tasks[index]
		if t.pauses(now) {
			continue
		}
		at := c.pick(s, t, fitting, now)
		if at < 0 && len(t.attempts) > 0 {
			// The others may take the worker on which this one runs.
			continue
		}
		if at < 0 {
			return
		}
		c.start(t, fitting[at], t.nextRun(c.settings.Term), now)
		if !onTrial {
			room.free -= need.MilliCPU
		}
		left--
	}
}

// pick returns the first candidate with room for a task, avoiding all workers on which it
// failed if another one will do. It returns -1 for none.
func (c *Cell) pick(s *stage, t *task, fitting []candidate, now time.Time) int {
	if t.crashes.any() {
		return c.pickIsolated(s, t, fitting, now)
	}
	second := -1
	for i := range fitting {
		w := fitting[i].w
		if !c.takesNow(s, t, w, now) {
			continue
		}
		if !slices.Contains(t.failedOn, w.ID) {
			return i
		}
		if second < 0 {
			second = i
		}
	}
	return second
}

// takesNow reports whether a worker has room for a task, and it may take that.
func (c *Cell) takesNow(s *stage, t *task, w *worker, now time.Time) bool {
	return s.step.Occupied().Fits(w.free()) && c.eligible(s, w) && t.mayTake(w) && c.leftFor(s, w, now)
}

// placeGang starts all tasks of a gang or none: members that wait for others
// hold room for nothing.
func (c *Cell) placeGang(s *stage, room *room, fitting []candidate, now time.Time) {
	if len(s.idle) < len(s.tasks) {
		return
	}
	need := s.step.Occupied()
	if !room.allows(s, need.MilliCPU*int64(len(s.tasks))) {
		return
	}
	fitting = s.leastAtRisk(fitting)
	seats := c.seats(s, fitting)
	if s.step.RackLocal {
		seats = c.rackSeats(s, fitting)
	}
	if len(seats) < len(s.tasks) {
		return
	}
	run := uint64(0)
	for _, t := range s.tasks {
		run = max(run, t.nextRun(c.settings.Term))
	}
	for i, t := range s.tasks {
		c.start(t, seats[i], run, now)
		room.free -= need.MilliCPU
	}
}

// seats returns a place for each member of a gang, or fewer if there are none.
func (c *Cell) seats(s *stage, fitting []candidate) []candidate {
	var seats []candidate
	need := s.step.Occupied()
	for _, f := range fitting {
		limit := len(s.tasks) - len(seats)
		if s.step.MaxPerWorker > 0 {
			limit = min(limit, s.step.MaxPerWorker-s.perWorker[f.w])
		}
		for range need.CountIn(f.w.free(), int64(limit)) {
			seats = append(seats, f)
		}
		if len(seats) == len(s.tasks) {
			break
		}
	}
	return seats
}

// rackSeats is seats within one rack, if one has room; otherwise anywhere, as
// slow work is better than none.
func (c *Cell) rackSeats(s *stage, fitting []candidate) []candidate {
	byRack := map[string][]candidate{}
	var racks []string
	for _, f := range fitting {
		if byRack[f.w.Rack] == nil {
			racks = append(racks, f.w.Rack)
		}
		byRack[f.w.Rack] = append(byRack[f.w.Rack], f)
	}
	for _, rack := range racks {
		if seats := c.seats(s, byRack[rack]); len(seats) == len(s.tasks) {
			return seats
		}
	}
	return c.seats(s, fitting)
}

// start books a run and orders it.
func (c *Cell) start(t *task, on candidate, run uint64, now time.Time) {
	a := &attempt{task: t, run: run, worker: on.w, phase: ordered, orderedAt: now, pace: 100, fromStart: t.saved == ""}
	t.lastRun = run
	t.attempts = append(t.attempts, a)
	t.stage.takeIdle(t.index)
	on.w.add(a)
	c.isolate(a)
	if r := on.w.reserved; r != nil && r.stage == t.stage {
		on.w.reserved = nil
	} else if r != nil {
		r.spare = r.spare.Sub(t.stage.step.Occupied())
	}
	c.stats.Starts++
	c.orders = append(c.orders, StartOrder{Worker: on.w.target, Task: t.id(), Start: runner.Start{
		Task: t.id().String(), Run: run, Spec: t.stage.job.record.Spec, Token: c.settings.Term,
		LeaseUntil: on.w.extendLease(c.settings.Lease, now), Checkpoint: t.saved, Ticket: on.ticket,
	}})
}
