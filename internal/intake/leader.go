package intake

import "gentianstand/internal/cellpeer"

// Leader is what intake asks about the owner of the cell.
type Leader interface {
	cellpeer.CellOwner
	// Owner returns the owner's address; self says that it is this instance.
	Owner() (address string, self bool)
}
