package instance

import (
	"sync/atomic"
	"time"

	"gentianstand/internal/idempotency"
	"gentianstand/internal/live"
	"gentianstand/internal/owner"
	"gentianstand/internal/ownership"
	"gentianstand/internal/peer"
	"gentianstand/internal/planner"
)

// listener distributes the keeper's events to the other components. It implements
// ownership.Listener.
type listener struct {
	self     live.Process
	hub      *peer.Hub
	owner    *owner.Owner
	planner  *planner.Planner
	register *idempotency.Registry
	follower *configFollower
	readAt   atomic.Int64
	shards   atomic.Pointer[map[string]uint64]
	drained  func()
	lost     func()
}

// ViewRead implements ownership.Listener.
func (l *listener) ViewRead(view live.View) {
	l.readAt.Store(time.Now().UnixNano())
	l.hub.SetView(view)
	l.owner.SetDrains(view.Drains)
	l.follower.observeHead(view.Config)
	if _, ok := view.Drains[l.self.Instance]; ok {
		l.drained()
	}
}

// HeldChanged implements ownership.Listener.
func (l *listener) HeldChanged(held []ownership.HeldShard) {
	shards := map[string]uint64{}
	var planning *live.Shard
	for _, h := range held {
		if !h.HandedOverAt.IsZero() {
			continue
		}
		shards[h.Shard.Name] = h.Shard.Epoch
		if h.Shard.Name == live.PlannerShard {
			planning = &h.Shard
		}
	}
	l.shards.Store(&shards)
	l.register.SetHeld(held)
	l.owner.SetHeld(held)
	l.planner.SetShard(planning)
}

// SessionLost implements ownership.Listener.
func (l *listener) SessionLost() {
	l.HeldChanged(nil)
	l.lost()
}

func (l *listener) held() map[string]uint64 {
	if p := l.shards.Load(); p != nil {
		return *p
	}
	return nil
}
