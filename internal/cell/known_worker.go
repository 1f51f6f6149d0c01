package cell

import "gentianstand/internal/runner"

// KnownWorker is a worker on which runs may be.
type KnownWorker struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// Closed says that no run was started there since this was stored, and that
	// Runs are all that may still be there.
	Closed bool       `cbor:"3,keyasint,omitempty"`
	Runs   []KnownRun `cbor:"4,keyasint,omitempty"`
	// Suspects are the runs that may have crashed the worker; it fell silent while they
	// were starting.
	Suspects []KnownRun `cbor:"5,keyasint,omitempty"`
	// Born is the incarnation that all this is said of, or 0 if it was not known.
	Born runner.Incarnation `cbor:"6,keyasint,omitempty"`
	// LeaseLeftMillis is how long leases on the worker may last from when this was stored,
	// told by the owner of Term at the end of its term. It is 0 if no owner told.
	LeaseLeftMillis int64  `cbor:"7,keyasint,omitempty"`
	Term            uint64 `cbor:"8,keyasint,omitempty"`
}
