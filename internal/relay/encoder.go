package relay

import (
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentianstand/internal/runner"
)

// encoder writes the requests of one link. It leaves out what the relay knows from
// requests before: who a worker is, and the specs of the last jobs. It is not safe for
// concurrent use.
type encoder struct {
	out     *cbor.Encoder
	workers map[runner.Target]uint32
	// ids are the places of the workers' ids in questions.
	ids   map[string]uint32
	specs *specSlots
}

func newEncoder(w io.Writer) *encoder {
	return &encoder{out: cbor.NewEncoder(w), workers: map[runner.Target]uint32{}, ids: map[string]uint32{}, specs: newSpecSlots()}
}

// encode writes a call that has its number.
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

// nameWorker puts the number of a call's worker in, and who that is for the first time.
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

// shortStart leaves the spec out if the relay remembers it.
func (e *encoder) shortStart(s start) *start {
	s.Slot, s.Known = e.specs.place(s.Spec)
	if s.Known {
		s.Spec = ""
	}
	return &s
}

// shortAdvice names workers by their places.
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

// relayTimeout returns how much of the time left for a call the relay may use.
func relayTimeout(left time.Duration) time.Duration {
	return left - min(replyMargin, time.Duration(replyMarginShare*float64(left)))
}
