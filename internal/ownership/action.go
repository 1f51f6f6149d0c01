package ownership

import "gentianstand/internal/live"

// Action is a change of a shard's row that an instance should write. The row is
// written only if it still has ExpectedVersion.
type Action struct {
	Shard           live.Shard
	ExpectedVersion uint64
}
