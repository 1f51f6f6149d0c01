package cell

// PollOrder has the owner begin to look at a worker, and store what is unsaved.
type PollOrder struct{ Worker string }

func (PollOrder) isOrder() {}
