package cell

// LookOrder has the owner begin to look at a worker, and store what is unsaved.
type LookOrder struct{ Worker string }

func (LookOrder) isOrder() {}
