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
	if r.Ask != nil {
		r.Ask = e.shortAsk(r.Ask, c.asked)
	} else {
		e.nameWorker(&r, c)
	}
	r.SentMillis = now.UnixMilli()
	r.LimitMillis = limitOf(c.deadline.Sub(now)).Milliseconds()
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
		r.Target, r.BornMillis = &target{ID: to.ID, Address: to.Address}, int64(to.Incarnation)
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

// shortAsk names workers by their places.
func (e *encoder) shortAsk(a *ask, ids []string) *ask {
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

// limitOf returns how much of the time left for a call the relay may use.
func limitOf(left time.Duration) time.Duration {
	return left - min(replyMargin, time.Duration(replyShare*float64(left)))
}
