package intake

// bound limits how many calls are under way. Without it, callers of an owner that answers
// late would each open a connection and close it at their timeout, and fill its link.
// Beyond the bound questions go to the store, and news reaches the owner with its next
// read of the store.
type bound struct{ places chan struct{} }

func newBound(most int) *bound { return &bound{make(chan struct{}, most)} }

// enter takes a place and reports whether there was one.
func (b *bound) enter() bool {
	select {
	case b.places <- struct{}{}:
		return true
	default:
		return false
	}
}

// leave gives a place back.
func (b *bound) leave() { <-b.places }
