package cell

import (
	"time"

	"gentianstand/internal/resource"
)

const (
	// urgentReserve is the share of all CPU capacity reserved for the most urgent queue and
	// for long-running tasks. The tasks of that queue are short and arrive in bursts; without
	// free capacity, each would have to wait for a run to be stopped.
	urgentReserve = 0.06
)

// planView is a view of the workers for one planning pass.
type planView struct {
	// pass is the number of the planning pass.
	pass   uint64
	usable []*worker
	// trialWorkers are avoided workers on which long-running tasks may be tried.
	trialWorkers []*worker
	// byRack groups the usable workers by rack. It is built on first use.
	byRack map[string][]*worker
	// totalMilliCPU and freeMilliCPU sum up the CPU capacity of all usable workers, in
	// thousandths of a core.
	totalMilliCPU, freeMilliCPU int64
	// maxFree is the largest free amount on any worker, per resource. Stages that fit nowhere
	// are skipped without a scan of the workers.
	maxFree resource.Amount
	// minCapacity is the smallest capacity of any worker, per resource. Reservations are
	// skipped for stages whose tasks are large on no worker.
	minCapacity resource.Amount
	slots       AdviceSlots
	// budget divides the slow adviser calls while they are scarce, or is nil.
	budget *budgetPass
	// unreserved is set if no CPU capacity is reserved for the most urgent queue.
	unreserved bool
	// reserved counts the workers reserved for each stage.
	reserved map[*stage]int
	// recoveryDeadline is the latest time at which the recovery ends; see recover.
	recoveryDeadline time.Time
	// heldCallsInSeries is the number of adviser calls that follow one another for the long-running
	// stages that are held back.
	heldCallsInSeries int
	// queuedMilliCPU is the CPU capacity that the stages need which this pass has left waiting.
	queuedMilliCPU int64
	// fasterWait is set while the current stage waits for faster workers.
	fasterWait bool
	// preempt is the view of a search for victims, or nil if none is due.
	preempt *preemptView
	// urgent sums up the demand of the urgent stages that were considered so far in this pass.
	urgent *urgentDemand
	// unparkingStages counts the stages for which this pass considered unparking.
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

// addTrialWorker adds an avoided worker if long-running tasks may be tried there.
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

// allowsCPU reports whether a stage may use more CPU capacity. The reserve is open to
// long-running tasks: one that had to wait for other tasks to end would be down for as long as
// new ones arrive.
func (v *planView) allowsCPU(s *stage, milliCPU int64) bool {
	if s.job.record.Priority <= 0 || s.step.LongRunning || v.unreserved {
		return true
	}
	return float64(v.freeMilliCPU-milliCPU) >= urgentReserve*float64(v.totalMilliCPU)
}

// queue counts tasks of a stage that this pass leaves waiting.
func (v *planView) queue(s *stage, tasks int) {
	v.queuedMilliCPU += int64(tasks) * s.step.Occupied().MilliCPU
}
