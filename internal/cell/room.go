package cell

import (
	"time"

	"gentianstand/internal/resource"
)

const (
	// urgentReserve is the share of all processors that only the most urgent
	// queue may use. Load pattern: short urgent tasks arrive in bursts while long
	// ones fill all workers; without a reserve each has to wait for a stop.
	urgentReserve = 0.06
)

// room is the view of the workers during one planning pass.
type room struct {
	usable []*worker
	// byRack are the usable workers by their racks.
	byRack map[string][]*worker
	// total and free are thousandths of a core over all usable workers.
	total, free int64
	// most is the largest free amount of each kind on any worker, so that stages
	// that fit nowhere are passed over without a look at each worker.
	most  resource.Amount
	slots AdviceSlots
	// unreserved says that no processors are kept for the most urgent queue.
	unreserved bool
	// reserved counts the workers that are reserved for each stage.
	reserved map[*stage]int
	// woken counts the stages that had parked workers woken.
	woken int
}

func (c *Cell) newRoom(now time.Time) *room {
	r := &room{byRack: map[string][]*worker{}, reserved: map[*stage]int{}, unreserved: !c.uses(UrgentReserve)}
	for _, w := range c.workers {
		if w.usable(now) {
			r.usable = append(r.usable, w)
			r.byRack[w.Rack] = append(r.byRack[w.Rack], w)
			r.total += w.Capacity.MilliCPU
			free := w.free()
			r.free += max(0, free.MilliCPU)
			r.most = r.most.Max(free)
		}
	}
	return r
}

// allows reports whether a queue of this priority may take more processors.
func (r *room) allows(priority int, milliCPU int64) bool {
	if priority <= 0 || r.unreserved {
		return true
	}
	return float64(r.free-milliCPU) >= urgentReserve*float64(r.total)
}
