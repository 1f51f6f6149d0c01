package intake

import "gentianstand/internal/cellpeer"

// Ownership is this instance's view of the cell's owner.
type Ownership interface {
	cellpeer.CellOwner
	// Owner returns the owner's address; self reports whether this instance is the owner.
	Owner() (address string, self bool)
}
