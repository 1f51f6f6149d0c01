package cellpeer

import "time"

// Instance is what an instance tells others of itself.
type Instance struct {
	Name string `cbor:"1,keyasint"`
	// Address is where it serves other instances.
	Address string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	// Incarnation differs for every process, also of one name.
	Incarnation string    `cbor:"4,keyasint"`
	StartedAt   time.Time `cbor:"5,keyasint"`
	// Cores is how much processor the instance has. The strongest own cells first.
	Cores float64 `cbor:"6,keyasint,omitempty"`
}
