package upkeep

import "errors"

// The errors that guarantee that an order was not carried out.
var (
	// ErrFenced is returned when a higher fencing token was used for the machine.
	ErrFenced = errors.New("a higher fencing token was used for the machine")
	// ErrBusy is returned when the machine is not up or is leaving the fleet, or when
	// the fleet accepts no more orders at the moment.
	ErrBusy = errors.New("the machine or the fleet is busy")
	// ErrNotInWave is returned when the machine does not exist or does not belong to the
	// wave.
	ErrNotInWave = errors.New("the machine does not belong to the wave")
)
