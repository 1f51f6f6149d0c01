package ownership

import (
	"time"

	"gentianstand/internal/live"
	"gentianstand/internal/membership"
)

// HeldShard is a shard that this process owns, with what it knows of the
// previous owners.
type HeldShard struct {
	Shard   live.Shard
	TakenAt time.Time
	// HandedOverAt is when this process handed the shard over; it continues to
	// serve the workers for Timing.HandoverGrace. Zero while it owns the shard.
	HandedOverAt time.Time
	// Fenced records when a majority of a predecessor's electors had fenced it.
	Fenced map[live.Process]time.Time
}

// OldLeasesEnd returns when all leases granted by previous owners have
// certainly expired, also on unresponsive workers. Only then may tasks of such
// a worker be started elsewhere.
func (h HeldShard) OldLeasesEnd(t membership.Timing) time.Time {
	end := h.TakenAt
	for _, p := range h.Shard.Predecessors {
		stops := h.stoppedRenewingBy(p, t)
		if expired := stops.Add(t.Longer(t.WorkerLease)); expired.After(end) {
			end = expired
		}
	}
	return end
}

// PredecessorsStoppedBy returns when all previous owners have certainly
// stopped.
func (h HeldShard) PredecessorsStoppedBy(t membership.Timing) time.Time {
	end := h.TakenAt
	for _, p := range h.Shard.Predecessors {
		if stops := h.stoppedRenewingBy(p, t); stops.After(end) {
			end = stops
		}
	}
	return end
}

// stoppedRenewingBy returns when predecessor p has certainly stopped.
func (h HeldShard) stoppedRenewingBy(p live.Predecessor, t membership.Timing) time.Time {
	if p.HandedOver {
		return h.TakenAt.Add(t.Longer(t.HandoverGrace))
	}
	if fenced, ok := h.Fenced[p.Process]; ok {
		return fenced.Add(t.Longer(t.AttestationTTL))
	}
	return h.TakenAt.Add(t.Longer(t.OutageGrace))
}

// PredecessorsGone reports whether all predecessors have certainly stopped and
// their leases have expired.
func (h HeldShard) PredecessorsGone(t membership.Timing, now time.Time) bool {
	return !now.Before(h.OldLeasesEnd(t))
}
