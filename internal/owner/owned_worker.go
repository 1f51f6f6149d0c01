package owner

import "gentianstand/internal/platform"

// OwnedWorker identifies the worker of a Tracker and the shard and epoch under
// which it is owned.
type OwnedWorker struct {
	Instance platform.Instance
	Shard    string
	Epoch    uint64
}
