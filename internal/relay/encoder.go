package relay

import (
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentianstand/internal/runner"
)

// encoder writes the requests of one link. It omits what the relay remembers from earlier
// requests: the identity of workers, and the specs of recent jobs. It is not safe for
// concurrent use.
type encoder struct {
	out     *cbor.Encoder
	workers map[runner.Target]uint32
	// ids maps each worker id that was sent in an adviser request to its index.
	ids   map[string]uint32
	specs *specSlots
}

func newEncoder(w io.Writer) *encoder {
	return &encoder{out: cbor.NewEncoder(w), workers: map[runner.Target]uint32{}, ids: map[string]uint32{}, specs: newSpecSlots()}
}

// encode writes a call, which must have its number.
func (e *encoder) encode(c *call, now time.Time) error {
	r := c.request
	if r.Advice != nil {
		r.Advice = e.shortAdvice(r.Advice, c.workerIDs)
	} else {
		e.nameWorker(&r, c)
	}
	r.SentMillis = now.UnixMilli()
	r.TimeoutMillis = relayTimeout(c.deadline.Sub(now)).Milliseconds()
	if r.Start != nil {
		r.Start = e.shortStart(*r.Start)
	}
	return e.out.Encode(&r)
}

// nameWorker sets the number of the call's worker, and adds the worker's identity in the
// first request to it.
func (e *encoder) nameWorker(r *request, c *call) {
	to := c.worker
	to.Zone = "" // the relay does not need it
	number, known := e.workers[to]
	if !known {
		number = uint32(len(e.workers) + 1)
		e.workers[to] = number
		r.Target, r.IncarnationMillis = &target{ID: to.ID, Address: to.Address}, int64(to.Incarnation)
	}
	r.Worker = number
}

// shortStart returns the start without its spec if the relay remembers the spec.
func (e *encoder) shortStart(s start) *start {
	s.Slot, s.Known = e.specs.place(s.Spec)
	if s.Known {
		s.Spec = ""
	}
	return &s
}

// shortAdvice returns the adviser request with the workers replaced by their indexes.
func (e *encoder) shortAdvice(a *adviceRequest, ids []string) *adviceRequest {
	short := *a
	for _, id := range ids {
		place, known := e.ids[id]
		if !known {
			place = uint32(len(e.ids))
			e.ids[id] = place
			short.NewIDs = append(short.NewIDs, id)
		}
		short.Workers = append(short.Workers, place)
	}
	return &short
}

// relayTimeout returns how much of the call's remaining time the relay may use.
func relayTimeout(left time.Duration) time.Duration {
	return left - min(replyMargin, time.Duration(replyMarginShare*float64(left)))
}
