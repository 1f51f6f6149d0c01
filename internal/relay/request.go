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
	// TimeoutMillis is how long the relay waits for the worker's answer.
	TimeoutMillis int64          `cbor:"5,keyasint"`
	Poll          *poll          `cbor:"6,keyasint,omitempty"`
	Start         *start         `cbor:"7,keyasint,omitempty"`
	Stop          *stop          `cbor:"8,keyasint,omitempty"`
	Throttle      *throttle      `cbor:"9,keyasint,omitempty"`
	Advice        *adviceRequest `cbor:"10,keyasint,omitempty"`
	// IncarnationMillis is the incarnation of Target.
	IncarnationMillis int64 `cbor:"11,keyasint,omitempty"`
}

// token returns the fencing token of the call.
func (r *request) token() uint64 {
	switch {
	case r.Poll != nil:
		return r.Poll.Token
	case r.Start != nil:
		return r.Start.Token
	case r.Stop != nil:
		return r.Stop.Token
	case r.Throttle != nil:
		return r.Throttle.Token
	case r.Advice != nil:
		return r.Advice.Token
	}
	return 0
}

// target is runner.Target on the wire.
type target struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Address string
}

// poll is runner.Look on the wire.
type poll struct {
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
	Checkpoint  string
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

// throttle is runner.Pace on the wire.
type throttle struct {
	_       struct{} `cbor:",toarray"`
	Task    string
	Run     uint64
	Token   uint64
	Percent int
}

// adviceRequest is a question to the placement adviser.
type adviceRequest struct {
	_     struct{} `cbor:",toarray"`
	Token uint64
	Stage string
	// Workers are the places of the workers' ids among all that were sent on this link,
	// and NewIDs the ids that are sent for the first time.
	Workers []uint32
	NewIDs  []string
}
