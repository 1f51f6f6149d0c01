package intake

import "gentianstand/internal/cellpeer"

// Ownership is what intake asks about the owner of the cell.
type Ownership interface {
	cellpeer.CellOwner
	// Owner returns the owner's address; self says that it is this instance.
	Owner() (address string, self bool)
}
