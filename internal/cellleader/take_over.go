package cellleader

// takeOver is why an instance takes a cell over.
type takeOver struct {
	reason string
	// earlierStopped says that the earlier owner gives no orders any more: its
	// process ended, or it said that it does not own the cell.
	earlierStopped bool
}
