package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

const rowPrefix = "key/"

// keyHash returns the hash under which a service's key is stored in its shard.
func keyHash(service, key string) string {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

func shardPrefix(shard string) string { return rowPrefix + shard + "/" }

func rowKey(shard, hash string) string { return shardPrefix(shard) + hash }

// segmentKey returns the object key of the n-th segment of an epoch. A segment
// holds the records of one write during an outage of the table.
func segmentKey(shard string, epoch uint64, n int) string {
	return fmt.Sprintf("keys/%s/%d/%d", shard, epoch, n)
}
