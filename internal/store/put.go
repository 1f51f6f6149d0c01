package store

// Put sets the value of a row.
type Put struct {
	Table string
	Key   string
	Value []byte
}
