package ownership

import (
	"time"

	"gentianstand/internal/live"
	"gentianstand/internal/membership"
)

// Held is a shard that this process owns, and what it knows of the owners
// before.
type Held struct {
	Shard   live.Shard
	TakenAt time.Time
	// GivenAt is when this process handed the shard over; it keeps its
	// workers served for Timing.HandOver more. Zero while it owns the shard.
	GivenAt time.Time
	// Fenced tells when a majority of a predecessor's electors had fenced it.
	Fenced map[live.Process]time.Time
}

// OldLeasesEnd returns when no lease that an earlier owner gave can still be
// running on a worker that does not answer. Only then may tasks of such a
// worker be started elsewhere.
func (h Held) OldLeasesEnd(t membership.Timing) time.Time {
	end := h.TakenAt
	for _, p := range h.Shard.Predecessors {
		stops := h.stopsRenewing(p, t)
		if lapsed := stops.Add(t.Longer(t.WorkerLease)); lapsed.After(end) {
			end = lapsed
		}
	}
	return end
}

// PredecessorsStop returns when all owners before have certainly stopped.
func (h Held) PredecessorsStop(t membership.Timing) time.Time {
	end := h.TakenAt
	for _, p := range h.Shard.Predecessors {
		if stops := h.stopsRenewing(p, t); stops.After(end) {
			end = stops
		}
	}
	return end
}

// stopsRenewing returns when predecessor p has certainly stopped.
func (h Held) stopsRenewing(p live.Predecessor, t membership.Timing) time.Time {
	if p.HandedOver {
		return h.TakenAt.Add(t.Longer(t.HandOver))
	}
	if fenced, ok := h.Fenced[p.Process]; ok {
		return fenced.Add(t.Longer(t.VouchTTL))
	}
	return h.TakenAt.Add(t.Longer(t.OutageGrace))
}

// Settled reports whether all predecessors have certainly stopped and their
// leases have lapsed.
func (h Held) Settled(t membership.Timing, now time.Time) bool {
	return !now.Before(h.OldLeasesEnd(t))
}
