package cellpeer

import "time"

// Instance describes an instance to other instances.
type Instance struct {
	Name string `cbor:"1,keyasint"`
	// Address is where it serves other instances.
	Address string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	// Incarnation is unique to each process, even under the same name.
	Incarnation string    `cbor:"4,keyasint"`
	StartedAt   time.Time `cbor:"5,keyasint"`
	// Cores is the instance's CPU capacity. The instances with the most cores own cells
	// first.
	Cores float64 `cbor:"6,keyasint,omitempty"`
}
