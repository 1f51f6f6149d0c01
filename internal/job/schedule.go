package job

import "time"

// Schedule repeats the steps of a job at a fixed interval.
type Schedule struct {
	// Count is the number of occurrences.
	Count int `cbor:"1,keyasint"`
	// FirstAt is when the first occurrence is due.
	FirstAt time.Time `cbor:"2,keyasint"`
	// Every is the time between the due times of two occurrences. Occurrences may overlap.
	Every time.Duration `cbor:"3,keyasint"`
}
