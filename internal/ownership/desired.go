package ownership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gentianstand/internal/live"
)

// Desired returns which instance should own each shard. A living owner is kept
// unless it has reached its maximum load or another instance is in a better
// zone, so that one membership change moves few shards.
//
// An owner should be in a different availability zone than its workers, but in
// the same region. If a zone fails, the workers and their owner then do not fail
// together: the owner survives, knows that it let the leases expire, and
// restarts the work elsewhere within seconds. If both failed, a new owner could
// not distinguish a dead owner from one that still renews the leases behind a
// network partition.
func Desired(alive []live.Instance, places []ShardLocation, current map[string]string) map[string]string {
	if len(alive) == 0 {
		return map[string]string{}
	}
	a := newAssigner(alive, len(places))
	ordered := slices.Clone(places)
	slices.SortFunc(ordered, func(x, y ShardLocation) int { return strings.Compare(x.Name, y.Name) })
	var open []ShardLocation
	for _, p := range ordered {
		if !a.keep(p, current[p.Name]) {
			open = append(open, p)
		}
	}
	for _, p := range open {
		a.assign(p)
	}
	return a.owner
}

type assigner struct {
	alive   []live.Instance
	byID    map[string]live.Instance
	load    map[string]int
	maxLoad int
	owner   map[string]string
}

func newAssigner(alive []live.Instance, places int) *assigner {
	a := &assigner{alive: alive, byID: map[string]live.Instance{}, load: map[string]int{}, owner: map[string]string{}}
	for _, inst := range alive {
		a.byID[inst.Process.Instance] = inst
	}
	a.maxLoad = (places + len(alive) - 1) / len(alive)
	return a
}

func (a *assigner) keep(p ShardLocation, owner string) bool {
	inst, ok := a.byID[owner]
	if !ok || a.load[owner] >= a.maxLoad || distance(p, inst) > a.nearest(p) {
		return false
	}
	a.setOwner(p, owner)
	return true
}

func (a *assigner) assign(p ShardLocation) {
	best := slices.MinFunc(a.alive, func(x, y live.Instance) int { return a.compare(p, x, y) })
	a.setOwner(p, best.Process.Instance)
}

func (a *assigner) setOwner(p ShardLocation, owner string) {
	a.owner[p.Name] = owner
	a.load[owner]++
}

// compare prefers an instance below its maximum load, then the better zone,
// then the lower load, then the higher hash.
func (a *assigner) compare(p ShardLocation, x, y live.Instance) int {
	if fx, fy := a.load[x.Process.Instance] >= a.maxLoad, a.load[y.Process.Instance] >= a.maxLoad; fx != fy {
		return boolOrder(fx)
	}
	if d := distance(p, x) - distance(p, y); d != 0 {
		return d
	}
	if d := a.load[x.Process.Instance] - a.load[y.Process.Instance]; d != 0 {
		return d
	}
	if hash(p.Name, x.Process.Instance) > hash(p.Name, y.Process.Instance) {
		return -1
	}
	return 1
}

func (a *assigner) nearest(p ShardLocation) int {
	best := farAway
	for _, inst := range a.alive {
		best = min(best, distance(p, inst))
	}
	return best
}

// Distances between an instance and a shard, in order of preference.
const (
	otherZone = iota
	sameZone
	farAway
)

func distance(p ShardLocation, inst live.Instance) int {
	switch {
	case p.Zone == "":
		return otherZone
	case p.Region != inst.Region:
		return farAway
	case p.Zone == inst.Zone:
		return sameZone
	default:
		return otherZone
	}
}

func hash(place, instance string) uint64 { return xxhash.Sum64String(place + "|" + instance) }

func boolOrder(x bool) int {
	if x {
		return 1
	}
	return -1
}
