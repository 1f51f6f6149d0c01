package platform

// Counts holds usage counters of the stand-in's table.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Rows is the number of rows put or deleted by all writes.
	Rows int64 `json:"rows"`
}
