package advicebudget

// Candidate is a worker that a call may name.
type Candidate struct {
	// AtAnswer is how many tasks of the stage will fit when the answer is due, and AtExpiry how many
	// will have fitted when the tickets expire. Neither counts capacity that other stages will use.
	AtAnswer, AtExpiry float64
	// Preferred workers come first, whatever their capacity.
	Preferred bool
	// Allowed is set if the adviser has allowed the worker before, so that the call only renews the
	// ticket.
	Allowed bool
	// TieBreak orders workers that are equal otherwise.
	TieBreak uint64
	// Index identifies the worker for the caller.
	Index int
}

// aheadWeight is the value of capacity that becomes free while a ticket is valid, relative to
// capacity that is free when it arrives. Expected ends are off by up to a half, and other work
// may take what becomes free.
const aheadWeight = 0.25

// expectedStarts returns how many tasks a call is expected to start on the worker. share is the
// share of workers that the adviser allows.
func (c *Candidate) expectedStarts(share float64) float64 {
	starts := c.AtAnswer + aheadWeight*(c.AtExpiry-c.AtAnswer)
	if c.Allowed {
		return starts
	}
	return share * starts
}
