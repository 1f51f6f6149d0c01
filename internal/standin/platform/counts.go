package platform

// Counts tells how much the stand-in's table has been used.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Rows is the number of rows written by all writes.
	Rows int64 `json:"rows"`
}
