package upkeep

import "errors"

// The errors after which an order was not carried out.
var (
	// ErrFenced says that a higher fencing token was used for the machine.
	ErrFenced = errors.New("a higher fencing token was used for the machine")
	// ErrBusy says that the machine is not up, that it leaves, or that the fleet
	// takes no more orders for the moment.
	ErrBusy = errors.New("the machine or the fleet is busy")
	// ErrNotInWave says that there is no such machine, or that it does not belong
	// to the wave.
	ErrNotInWave = errors.New("the machine does not belong to the wave")
)
