package intake

// bound limits how many calls are under way.
//
// What can go wrong: the owner on a small machine answers late. Each caller's question
// then waits for its timeout on a connection of its own, which is closed after it, and all
// instances together open a hundred connections a second to the owner's full link. It
// shows as peers_connections in "traffic" of the owner. Beyond the bound questions go to
// the store, and news reaches the owner with its next read of the store.
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
