package relay

// reply is the outcome of one request, from a relay to the owner. Without a number it
// is a heartbeat.
type reply struct {
	Number  uint32  `cbor:"1,keyasint,omitempty"`
	Outcome outcome `cbor:"2,keyasint,omitempty"`
	// Reason is why the worker refused; see runner.RefusalReason.
	Reason string `cbor:"3,keyasint,omitempty"`
	// Detail is for logs.
	Detail string `cbor:"4,keyasint,omitempty"`
	// ClockMicros is the worker's clock, or 0 if the answer had none.
	ClockMicros int64    `cbor:"5,keyasint,omitempty"`
	Report      *report  `cbor:"6,keyasint,omitempty"`
	Tickets     []ticket `cbor:"8,keyasint,omitempty"`
	// Leaving says that the relay is about to stop and takes no more requests.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// IncarnationMillis is runner.Report.Born, or 0 if the worker's report before on this link
	// had the same.
	IncarnationMillis int64 `cbor:"9,keyasint,omitempty"`
}

// outcome is how a call to a worker ended.
type outcome uint8

const (
	// answered: the worker did what was asked.
	answered outcome = iota
	// refused: the worker answered and did nothing, or was not called.
	refused
	// incarnationGone: another incarnation answers at the worker's address.
	incarnationGone
	// unanswered: the call may have been carried out, or may be yet.
	unanswered
	// expired: the request came too late, and nothing was done.
	expired
)

// report is runner.Report on the wire.
type report struct {
	_ struct{} `cbor:",toarray"`
	// Worker is the number of the worker on this link.
	Worker  uint32
	Running []runState
	Ended   []end
}

// runState is runner.RunState on the wire. A worker's reports repeat the same runs
// again and again, so a run that stands in the report before on this link, with the
// same checkpoint, is named by its place there, in a tenth of the bytes.
type runState struct {
	_ struct{} `cbor:",toarray"`
	// PreviousPlace is 1 + the place in the report before, or 0 if the run is spelled out.
	PreviousPlace int
	Percent       int
	Gauge         float32
	Task          string
	Run           uint64
	Checkpoint    string
}

// end is runner.End on the wire.
type end struct {
	_          struct{} `cbor:",toarray"`
	Sequence   uint64
	Task       string
	Run        uint64
	Kind       string
	Checkpoint string
}

// ticket is advice.Ticket on the wire.
type ticket struct {
	_ struct{} `cbor:",toarray"`
	// Place is that of the worker in the question.
	Place uint32
	Text  string
}
