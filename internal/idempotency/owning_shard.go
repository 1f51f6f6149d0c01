package idempotency

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// OwningShard returns the shard that is home to a key, by rendezvous hashing: when
// shards come or go, only their own keys move.
func OwningShard(service, key string, shards []string) string {
	home, highest := "", uint64(0)
	for _, shard := range slices.Sorted(slices.Values(shards)) {
		if h := xxhash.Sum64String(shard + "\x00" + service + "\x00" + key); home == "" || h > highest {
			home, highest = shard, h
		}
	}
	return home
}
