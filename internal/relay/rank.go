package relay

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"

	"gentianstand/internal/cellpeer"
)

// scoredInstance is an instance and its lot for a worker.
type scoredInstance struct {
	cellpeer.Instance
	score uint64
}

const (
	// relayShare of a zone's instances, and at least leastRelays, are relays at a time.
	// Each job's spec crosses the owner's link once for each relay that starts a task of
	// it, and a relay needs little of its machine.
	relayShare = 0.5
	minRelays  = 3
)

// Rank returns the instances through which a worker may be reached, best first: those of
// its own zone, in an order that differs from group to group of workers (rendezvous
// hashing). Only the workers of a lost instance move, and the order needs no agreement: a
// new owner finds the same relays with their connections open. Bytes between zones cost,
// so the long calls of HTTP stay within one; the short frames cross.
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

// groupOf returns which of some groups a worker belongs to. One group more moves the
// workers of half another group and no others (linear hashing).
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

func hashScore(name, instance string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance + "\x00" + name)) // a hash never fails
	return mix(h.Sum64())
}

// mix spreads the bits of a hash: FNV alone leaves the order of two instances the same
// for most workers whose names differ in the last letters only.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
