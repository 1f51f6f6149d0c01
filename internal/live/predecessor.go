package live

// Predecessor is an earlier owner of a shard.
type Predecessor struct {
	Process Process `json:"process"`
	// HandedOver says that it gave the shard away itself, and so stops soon.
	HandedOver bool `json:"handed_over,omitempty"`
	// Electors are those that its row named; empty if they are not known.
	Electors []Process `json:"electors,omitempty"`
}
