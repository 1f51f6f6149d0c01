package store

// MaxEntries is the maximum number of checks, puts and removals in one transaction.
const MaxEntries = 100

// Tx is a conditional, atomic write of rows in one partition, or in several where the store
// supports it; see Put.
type Tx struct {
	Partition string
	Checks    []Check
	Puts      []Put
	Removals  []RowKey
}
