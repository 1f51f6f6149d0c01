package relay

import (
	"bytes"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/runner"
)

// frames returns the concatenated encodings of some frames.
func frames(f *testing.F, list ...any) []byte {
	f.Helper()
	var wire bytes.Buffer
	for _, one := range list {
		if err := cbor.NewEncoder(&wire).Encode(one); err != nil {
			f.Fatal(err)
		}
	}
	return wire.Bytes()
}

// FuzzRequests checks that a relay handles any input from an owner or ends the link.
func FuzzRequests(f *testing.F) {
	f.Add(frames(f, &request{Number: 1, Worker: 1, Target: &target{ID: "w", Address: "a"}, Poll: &poll{Token: 1}}))
	f.Add(frames(f, &request{Number: 1, Worker: 1, Target: &target{ID: "w"}, Start: &start{Slot: 3, Spec: "s"}},
		&request{Number: 2, Worker: 1, Start: &start{Slot: 3, Known: true}}))
	f.Add(frames(f, &request{Number: 1, Advice: &adviceRequest{Stage: "j.0.0", Workers: []uint32{0}, NewIDs: []string{"w"}}}))
	f.Add(frames(f, &request{Worker: 9, Stop: &stop{}}, &request{Worker: 1, Start: &start{Slot: specSlotCount}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		one := newSession(nil, NewServer(&fakeWorkers{}, nil, logrus.New()))
		in := cbor.NewDecoder(bytes.NewReader(data))
		for {
			var r request
			if in.Decode(&r) != nil {
				return
			}
			w, err := one.resolve(&r)
			if err != nil {
				return
			}
			if r.Advice == nil && w != one.workers[r.Worker] {
				t.Fatalf("worker %d is %v", r.Worker, w)
			}
			one.refusal(&r, time.Now())
		}
	})
}

// FuzzReplies checks that an owner handles any input from a relay or ends the link.
func FuzzReplies(f *testing.F) {
	f.Add(frames(f, &reply{Number: 1, ClockMicros: 5, Report: &report{Worker: 1, Running: []runState{{Task: "t", Run: 1}}}},
		&reply{Number: 2, Report: &report{Worker: 1, Running: []runState{{PreviousPlace: 1, Percent: 3}}}}))
	f.Add(frames(f, &reply{}, &reply{Leaving: true}, &reply{Number: 3, Tickets: []ticket{{Place: 7}}}, &reply{Number: 2, Outcome: expired}))
	f.Fuzz(func(t *testing.T, data []byte) {
		l := &Link{peer: cellpeer.Instance{Name: "edge-1"}, log: logrus.New(), done: make(chan struct{}), pending: map[uint32]*call{}}
		for n := range uint32(4) {
			l.pending[n+1] = &call{worker: runner.Target{ID: "w"}, workerIDs: []string{"w"}, result: make(chan result, 1), request: request{Poll: &poll{Token: 1}}}
		}
		in := cbor.NewDecoder(bytes.NewReader(data))
		known := reportCodec{}
		for {
			var r reply
			if in.Decode(&r) != nil || l.handleReply(&r, known) != nil {
				return
			}
		}
	})
}
