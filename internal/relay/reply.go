package relay

// reply is a relay's reply to one request. Without a number it is a heartbeat.
type reply struct {
	Number  uint32  `cbor:"1,keyasint,omitempty"`
	Outcome outcome `cbor:"2,keyasint,omitempty"`
	// Reason is why the worker refused, a runner.RefusalReason.
	Reason string `cbor:"3,keyasint,omitempty"`
	// Detail is an error text for logs.
	Detail string `cbor:"4,keyasint,omitempty"`
	// ClockMicros is the worker's clock, or 0 if the answer carried none.
	ClockMicros int64    `cbor:"5,keyasint,omitempty"`
	Report      *report  `cbor:"6,keyasint,omitempty"`
	Tickets     []ticket `cbor:"8,keyasint,omitempty"`
	// Leaving reports that the relay is about to stop and accepts no more requests.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// IncarnationMillis is runner.Report.Incarnation, or 0 if it is the same as in the
	// worker's previous report on this link.
	IncarnationMillis int64 `cbor:"9,keyasint,omitempty"`
	// RepeatedEnds is the number of ends, the last ones of the worker's previous report on this
	// link, that precede Report.Ended. It is 0 unless the owner has declared repeatedEnds.
	RepeatedEnds int `cbor:"10,keyasint,omitempty"`
}

// outcome classifies how a call to a worker ended.
type outcome uint8

const (
	// answered: the worker carried out the call.
	answered outcome = iota
	// refused: the worker declined the call, or the relay did not make it.
	refused
	// incarnationGone: another incarnation answers at the worker's address.
	incarnationGone
	// unanswered: the call may have been carried out, or may still be.
	unanswered
	// expired: the request arrived too late, and nothing was done.
	expired
)

// report is the frame form of runner.Report.
type report struct {
	_ struct{} `cbor:",toarray"`
	// Worker is the worker's number on this link.
	Worker  uint32
	Running []runState
	Ended   []end
}

// runState is the frame form of runner.RunState. Successive reports of a worker mostly
// repeat the same runs. A run that is in the previous report on this link, with the same
// checkpoint, is therefore sent as its index there, in a tenth of the bytes.
type runState struct {
	_ struct{} `cbor:",toarray"`
	// PreviousPlace is 1 + the index in the previous report, or 0 if the run is sent in
	// full.
	PreviousPlace int
	Percent       int
	Gauge         float32
	Task          string
	Run           uint64
	Checkpoint    string
}

// end is the frame form of runner.End.
type end struct {
	_          struct{} `cbor:",toarray"`
	Sequence   uint64
	Task       string
	Run        uint64
	Kind       string
	Checkpoint string
}

// ticket is the frame form of advice.Ticket.
type ticket struct {
	_ struct{} `cbor:",toarray"`
	// Place is the worker's index in the adviser request.
	Place uint32
	Text  string
}
