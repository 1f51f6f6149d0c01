package cell

import (
	"gentianstand/internal/runner"
	"gentianstand/internal/workerspeed"
)

// KnownWorker is the stored entry of a worker on which runs may exist.
type KnownWorker struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// Cordoned guarantees that no run was started there since the entry was stored, and that
	// Runs are all runs that may still exist there.
	Cordoned bool       `cbor:"3,keyasint,omitempty"`
	Runs     []KnownRun `cbor:"4,keyasint,omitempty"`
	// Suspects are the runs that may have crashed the worker: it became unresponsive while
	// they were starting.
	Suspects []KnownRun `cbor:"5,keyasint,omitempty"`
	// Incarnation is the incarnation to which the entry applies, or 0 if it was not known.
	Incarnation runner.Incarnation `cbor:"6,keyasint,omitempty"`
	// LeaseRemainingMillis is how long leases on the worker may last, counted from when the
	// entry was stored. The owner of Term sets it at the end of its term; otherwise it is 0.
	LeaseRemainingMillis int64  `cbor:"7,keyasint,omitempty"`
	Term                 uint64 `cbor:"8,keyasint,omitempty"`
	// LostAtMillis is the wall-clock time at which the worker became unresponsive, if its fate was
	// not known when the entry was stored. The next owner finds out from it which workers were lost
	// together.
	LostAtMillis int64 `cbor:"9,keyasint,omitempty"`
	// AccountedTerm is the latest term of an owner that had accounted for all runs of the owners before
	// it when the entry was stored, or 0 if that is not known.
	AccountedTerm uint64 `cbor:"10,keyasint,omitempty"`
	// UnconfirmedSuspects are runs that are counted as lost with the worker, and of which it is not
	// known whether they had begun.
	UnconfirmedSuspects []KnownRun `cbor:"11,keyasint,omitempty"`
	// Speed is what was known of the speed of the incarnation, or nil.
	Speed *workerspeed.State `cbor:"12,keyasint,omitempty"`
}
