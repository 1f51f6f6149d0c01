package owner

import "gentianstand/internal/platform"

// OwnedWorker says which worker a Tracker is about and under what right.
type OwnedWorker struct {
	Instance platform.Instance
	Shard    string
	Epoch    uint64
}
