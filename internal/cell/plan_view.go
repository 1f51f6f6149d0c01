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
	// totalMilliCPU and freeMilliCPU are thousandths of a core over all usable workers.
	totalMilliCPU, freeMilliCPU int64
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
	v := &planView{pass: c.pass, usable: c.usableBuf[:0], reserved: map[*stage]int{}, unreserved: !c.enabled(UrgentReserve)}
	for _, w := range c.workers {
		if !w.usable(now) {
			v.addTrialWorker(w, now)
			continue
		}
		w.usablePass = c.pass
		w.isolatedFor = nil
		v.usable = append(v.usable, w)
		v.totalMilliCPU += w.Capacity.MilliCPU
		free := w.free()
		v.freeMilliCPU += max(0, free.MilliCPU)
		v.maxFree = v.maxFree.Max(free)
		if len(v.usable) == 1 {
			v.minCapacity = w.Capacity
		}
		v.minCapacity = v.minCapacity.Min(w.Capacity)
	}
	c.usableBuf = v.usable
	c.markIsolated()
	return v
}

// addTrialWorker notes a worker that is not usable if lasting tasks may be tried there.
func (v *planView) addTrialWorker(w *worker, now time.Time) {
	if !w.isReady(now) || !w.health.allowsTrial(now) {
		return
	}
	w.trialPass = v.pass
	w.isolatedFor = nil
	v.trialWorkers = append(v.trialWorkers, w)
	v.maxFree = v.maxFree.Max(w.free())
}

// rack returns the usable workers of a rack.
func (v *planView) rack(name string) []*worker {
	if v.byRack == nil {
		v.byRack = map[string][]*worker{}
		for _, w := range v.usable {
			v.byRack[w.Rack] = append(v.byRack[w.Rack], w)
		}
	}
	return v.byRack[name]
}

// allowsCPU reports whether a stage may take more processors. No room is kept from lasting
// tasks: one that waits for others to end is away for as long as these come.
func (v *planView) allowsCPU(s *stage, milliCPU int64) bool {
	if s.job.record.Priority <= 0 || s.step.LongRunning || v.unreserved {
		return true
	}
	return float64(v.freeMilliCPU-milliCPU) >= urgentReserve*float64(v.totalMilliCPU)
}
