package store

// MaxEntries is how many checks, puts and removals one transaction may hold.
const MaxEntries = 100

// Tx is a conditional write of rows of one partition, or of several where the store
// allows it; see Put.
type Tx struct {
	Partition string
	Checks    []Check
	Puts      []Put
	Removals  []RowKey
}
