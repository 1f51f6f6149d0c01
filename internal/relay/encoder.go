package relay

import (
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// encoder writes the requests of one link. It leaves out what the relay knows from
// requests before: who a worker is, and the spec of the last start. It is not safe for
// concurrent use.
type encoder struct {
	out     *cbor.Encoder
	workers map[string]uint32
	spec    string
	started bool
}

func newEncoder(w io.Writer) *encoder {
	return &encoder{out: cbor.NewEncoder(w), workers: map[string]uint32{}}
}

// encode writes a call that has its number.
func (e *encoder) encode(c *call, now time.Time) error {
	r := c.request
	key := c.worker.ID + " " + c.worker.Address
	number, known := e.workers[key]
	if !known {
		number = uint32(len(e.workers) + 1)
		e.workers[key] = number
		r.Target = &target{ID: c.worker.ID, Address: c.worker.Address}
	}
	r.Worker = number
	r.SentMillis = now.UnixMilli()
	r.LimitMillis = limitOf(c.deadline.Sub(now)).Milliseconds()
	if r.Start != nil {
		short := *r.Start
		short.SameSpec = e.started && short.Spec == e.spec
		e.spec, e.started = short.Spec, true
		if short.SameSpec {
			short.Spec = ""
		}
		r.Start = &short
	}
	return e.out.Encode(&r)
}

// limitOf returns how much of the time left for a call the relay may use.
func limitOf(left time.Duration) time.Duration {
	return left - min(replyMargin, time.Duration(replyShare*float64(left)))
}
