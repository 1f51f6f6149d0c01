package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

const rowPrefix = "key/"

// keyHash returns the name of a key within its shard.
func keyHash(service, key string) string {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

func shardPrefix(shard string) string { return rowPrefix + shard + "/" }

func rowKey(shard, hash string) string { return shardPrefix(shard) + hash }

// segmentKey returns the name of an object with keys that were written during
// an outage.
func segmentKey(shard string, epoch uint64, n int) string {
	return fmt.Sprintf("keys/%s/%d/%d", shard, epoch, n)
}
