package live

// Predecessor is a previous owner of a shard.
type Predecessor struct {
	Process Process `json:"process"`
	// HandedOver is set if the owner handed the shard over itself, and so stops using it soon.
	HandedOver bool `json:"handed_over,omitempty"`
	// Electors are the electors in its instance row; empty if they are not known.
	Electors []Process `json:"electors,omitempty"`
}
