package cell

// PollOrder asks the owner to start polling a worker and to store what is not stored yet.
type PollOrder struct{ Worker string }

func (PollOrder) isOrder() {}
