package cell

import (
	"time"

	"gentianstand/internal/resource"
)

const (
	// urgentReserve is the share of all processors that only the most urgent queue and
	// lasting tasks may use. The queue's tasks are short and come in bursts, and without
	// room each would have to wait for a stop.
	urgentReserve = 0.06
)

// planView is the view of the workers during one planning pass.
type planView struct {
	// pass is the number of the planning pass.
	pass   uint64
	usable []*worker
	// trialWorkers are workers that are avoided, on which lasting tasks may be tried.
	trialWorkers []*worker
	// byRack are the usable workers by their racks, once somebody asked for a rack.
	byRack map[string][]*worker
	// total and free are thousandths of a core over all usable workers.
	total, free int64
	// maxFree is the largest free amount of each kind on any worker, so that stages
	// that fit nowhere are passed over without a look at each worker.
	maxFree resource.Amount
	// minCapacity is the smallest capacity of each kind of any worker, so that reservations are
	// passed over for stages whose tasks are large on none.
	minCapacity resource.Amount
	slots       AdviceSlots
	// unreserved says that no processors are kept for the most urgent queue.
	unreserved bool
	// reserved counts the workers that are reserved for each stage.
	reserved map[*stage]int
	// recoveryDeadline is when the recovery is over at the latest; see recover.
	recoveryDeadline time.Time
	// unparkingStages counts the stages that had parked workers unparkingStages.
	unparkingStages int
}

func (c *Cell) newPlanView(now time.Time) *planView {
	c.pass++
	r := &planView{pass: c.pass, usable: c.usableBuf[:0], reserved: map[*stage]int{}, unreserved: !c.enabled(UrgentReserve)}
	for _, w := range c.workers {
		if !w.usable(now) {
			r.addTrialWorker(w, now)
			continue
		}
		w.usablePass = c.pass
		w.isolatedFor = nil
		r.usable = append(r.usable, w)
		r.total += w.Capacity.MilliCPU
		free := w.free()
		r.free += max(0, free.MilliCPU)
		r.maxFree = r.maxFree.Max(free)
		if len(r.usable) == 1 {
			r.minCapacity = w.Capacity
		}
		r.minCapacity = r.minCapacity.Min(w.Capacity)
	}
	c.usableBuf = r.usable
	c.markIsolated()
	return r
}

// addTrialWorker notes a worker that is not usable if lasting tasks may be tried there.
func (r *planView) addTrialWorker(w *worker, now time.Time) {
	if !w.isReady(now) || !w.health.allowsTrial(now) {
		return
	}
	w.trialPass = r.pass
	w.isolatedFor = nil
	r.trialWorkers = append(r.trialWorkers, w)
	r.maxFree = r.maxFree.Max(w.free())
}

// rack returns the usable workers of a rack.
func (r *planView) rack(name string) []*worker {
	if r.byRack == nil {
		r.byRack = map[string][]*worker{}
		for _, w := range r.usable {
			r.byRack[w.Rack] = append(r.byRack[w.Rack], w)
		}
	}
	return r.byRack[name]
}

// allowsCPU reports whether a stage may take more processors. No room is kept from lasting
// tasks: one that waits for others to end is away for as long as these come.
func (r *planView) allowsCPU(s *stage, milliCPU int64) bool {
	if s.job.record.Priority <= 0 || s.step.LongRunning || r.unreserved {
		return true
	}
	return float64(r.free-milliCPU) >= urgentReserve*float64(r.total)
}
