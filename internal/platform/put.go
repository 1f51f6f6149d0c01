package platform

// Put sets the value of a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}
