package relay

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"

	"gentianstand/internal/cellpeer"
)

// scoredInstance is an instance and its rendezvous score for a worker's group.
type scoredInstance struct {
	cellpeer.Instance
	score uint64
}

const (
	// relayShare of a zone's instances, and at least minRelays, act as relays. Each job's
	// spec crosses the owner's network once for each relay that starts one of its tasks,
	// and relaying needs little of a machine.
	relayShare = 0.5
	minRelays  = 3
)

// Rank returns the instances through which a worker may be reached, best first. They are
// those of the worker's zone, or all if the zone has none, ordered by rendezvous hashing
// per group of workers. When an instance is lost, only its own workers move. The order
// needs no coordination: a new owner selects the same relays, whose connections to workers
// are open. Traffic between zones costs money, so the long HTTP calls to workers stay
// within a zone and only the short frames cross.
func Rank(workerID, zone string, all []cellpeer.Instance) []cellpeer.Instance {
	near := slices.DeleteFunc(slices.Clone(all), func(i cellpeer.Instance) bool { return i.Zone != zone })
	if len(near) == 0 {
		near = slices.Clone(all)
	}
	group := strconv.Itoa(groupOf(workerID, max(minRelays, int(relayShare*float64(len(near))))))
	list := make([]scoredInstance, len(near))
	for i, instance := range near {
		list[i] = scoredInstance{instance, hashScore(group, instance.Name)}
	}
	slices.SortFunc(list, func(a, b scoredInstance) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	for i, r := range list {
		near[i] = r.Instance
	}
	return near
}

// groupOf returns a worker's group by linear hashing: one more group moves the workers of
// half another group and no others.
func groupOf(workerID string, groups int) int {
	all := 1
	for all < groups {
		all *= 2
	}
	group := int(hashScore(workerID, "") % uint64(all))
	if group >= groups {
		group -= all / 2
	}
	return group
}

// hashScore returns the rendezvous score of an instance for a name.
func hashScore(name, instance string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance + "\x00" + name)) // a hash never fails
	return mix(h.Sum64())
}

// mix spreads the bits of a hash. With FNV alone, the order of two instances is the same
// for most workers whose ids differ only in the last letters.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
