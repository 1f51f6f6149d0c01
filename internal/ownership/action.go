package ownership

import "gentianstand/internal/live"

// Action is one change to a shard's row that an instance should write. The
// row is written only if it still has the version Was.
type Action struct {
	Shard           live.Shard
	ExpectedVersion uint64
}
