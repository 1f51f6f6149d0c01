package relay

import "gentianstand/internal/packed"

// request is one call to a worker or to the adviser, from the owner to a relay. Exactly
// one of Look, Start, Stop, Pace and Ask is set.
type request struct {
	// Number names the request in its reply.
	Number uint32 `cbor:"1,keyasint"`
	// Worker is the number of the worker on this link; Target says who that is, in the
	// first request to it. Questions to the adviser have neither.
	Worker uint32  `cbor:"2,keyasint,omitempty"`
	Target *target `cbor:"3,keyasint,omitempty"`
	// SentMillis is the owner's time of day.
	SentMillis int64 `cbor:"4,keyasint"`
	// LimitMillis is how long the relay waits for the worker's answer.
	LimitMillis int64  `cbor:"5,keyasint"`
	Look        *look  `cbor:"6,keyasint,omitempty"`
	Start       *start `cbor:"7,keyasint,omitempty"`
	Stop        *stop  `cbor:"8,keyasint,omitempty"`
	Pace        *pace  `cbor:"9,keyasint,omitempty"`
	Ask         *ask   `cbor:"10,keyasint,omitempty"`
	// BornMillis is the incarnation of Target.
	BornMillis int64 `cbor:"11,keyasint,omitempty"`
}

// token returns the fencing token of the call.
func (r *request) token() uint64 {
	switch {
	case r.Look != nil:
		return r.Look.Token
	case r.Start != nil:
		return r.Start.Token
	case r.Stop != nil:
		return r.Stop.Token
	case r.Pace != nil:
		return r.Pace.Token
	case r.Ask != nil:
		return r.Ask.Token
	}
	return 0
}

// target is runner.Target on the wire.
type target struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Address string
}

// look is runner.Look on the wire.
type look struct {
	_     struct{} `cbor:",toarray"`
	Token uint64
	// LeaseMillis is the end of the lease on the worker's clock, or nil.
	LeaseMillis  *int64
	Acknowledged uint64
	WaitMillis   int64
}

// start is runner.Start on the wire.
type start struct {
	_           struct{} `cbor:",toarray"`
	Task        string
	Run         uint64
	Token       uint64
	LeaseMillis int64
	Saved       string
	Ticket      string
	// Slot is where the link remembers the spec, which the tasks of a job share. Known
	// says that it is there already and Spec is left out.
	Slot  uint32
	Known bool
	Spec  packed.Text
}

// stop is runner.Stop on the wire.
type stop struct {
	_     struct{} `cbor:",toarray"`
	Task  string
	Run   uint64
	Token uint64
}

// pace is runner.Pace on the wire.
type pace struct {
	_       struct{} `cbor:",toarray"`
	Task    string
	Run     uint64
	Token   uint64
	Percent int
}

// ask is a question to the placement adviser.
type ask struct {
	_     struct{} `cbor:",toarray"`
	Token uint64
	Stage string
	// Workers are the places of the workers' ids among all that were sent on this link,
	// and NewIDs the ids that are sent for the first time.
	Workers []uint32
	NewIDs  []string
}
