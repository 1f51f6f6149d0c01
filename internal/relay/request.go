package relay

import (
	"gentianstand/internal/compressed"
	"gentianstand/internal/runner"
)

// request is one call to a worker or to the placement adviser, from the owner to a relay.
// Exactly one of Poll, Start, Stop, Throttle and Advice is set.
type request struct {
	// Number identifies the request in its reply.
	Number uint32 `cbor:"1,keyasint"`
	// Worker is the worker's number on this link. Target is its identity, set in the first
	// request to it. Requests to the adviser have neither.
	Worker uint32  `cbor:"2,keyasint,omitempty"`
	Target *target `cbor:"3,keyasint,omitempty"`
	// SentMillis is the time of sending on the owner's wall clock.
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
	// Reconnect is runner.Poll.Reconnect. Earlier versions ignore it.
	Reconnect bool `cbor:"12,keyasint,omitempty"`
}

// pollRequest returns the request for a poll.
func pollRequest(l runner.Poll) request { return request{Poll: pollFrom(l), Reconnect: l.Reconnect} }

// runnerPoll returns the poll of a request that has one.
func (r *request) runnerPoll() runner.Poll {
	l := r.Poll.toRunner()
	l.Reconnect = r.Reconnect
	return l
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

// target is the frame form of runner.Target.
type target struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Address string
}

// poll is the frame form of runner.Poll.
type poll struct {
	_     struct{} `cbor:",toarray"`
	Token uint64
	// LeaseMillis is the end of the lease on the worker's clock, or nil.
	LeaseMillis  *int64
	Acknowledged uint64
	WaitMillis   int64
}

// start is the frame form of runner.Start.
type start struct {
	_           struct{} `cbor:",toarray"`
	Task        string
	Run         uint64
	Token       uint64
	LeaseMillis int64
	Checkpoint  string
	Ticket      string
	// Slot is the link's slot for the spec, which all tasks of a job share. Known reports
	// that the slot already holds the spec and that Spec is omitted.
	Slot  uint32
	Known bool
	Spec  compressed.Text
}

// stop is the frame form of runner.Stop.
type stop struct {
	_     struct{} `cbor:",toarray"`
	Task  string
	Run   uint64
	Token uint64
}

// throttle is the frame form of runner.Throttle.
type throttle struct {
	_       struct{} `cbor:",toarray"`
	Task    string
	Run     uint64
	Token   uint64
	Percent int
}

// adviceRequest is a request to the placement adviser.
type adviceRequest struct {
	_     struct{} `cbor:",toarray"`
	Token uint64
	Stage string
	// Workers are indexes into the list of all worker ids sent on this link; NewIDs are the
	// ids that this request appends to that list.
	Workers []uint32
	NewIDs  []string
}
