package store

// MaxEntries is the maximum number of checks, puts and removals in one transaction.
const MaxEntries = 100

const (
	// MaxTxBytes is the maximum size of one transaction in its encoded form.
	MaxTxBytes = 1_000_000
	// DefaultRowBytes is the maximum size of a value if the platform's settings name none.
	DefaultRowBytes = 65_536
)

// Tx is a conditional, atomic write of rows in one partition, or in several where the store
// supports it; see Put.
type Tx struct {
	Partition string
	Checks    []Check
	Puts      []Put
	Removals  []RowKey
}
