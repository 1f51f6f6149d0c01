package idempotency

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// OwningShard returns the shard that owns a key. It uses rendezvous hashing, so
// that a shard that is added or removed moves only its own keys.
func OwningShard(service, key string, shards []string) string {
	owner, highest := "", uint64(0)
	for _, shard := range slices.Sorted(slices.Values(shards)) {
		if h := xxhash.Sum64String(shard + "\x00" + service + "\x00" + key); owner == "" || h > highest {
			owner, highest = shard, h
		}
	}
	return owner
}
