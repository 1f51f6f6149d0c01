package owner

import "gentianstand/internal/platform"

// Site says which worker a Tracker is about and under what right.
type Site struct {
	Instance platform.Instance
	Shard    string
	Epoch    uint64
}
