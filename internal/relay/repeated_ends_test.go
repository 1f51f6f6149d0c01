package relay

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/runner"
)

// Guards against an owner that takes ends of an earlier report, or of an earlier incarnation, for
// listed ones, or misses some.
func TestRepeatedEndsAreRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relay, owner := reportCodec{}, reportCodec{}
		full := runner.Report{Incarnation: 1, Running: []runner.RunState{}, Ended: []runner.End{}}
		sequence := uint64(0)
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			if rapid.IntRange(0, 4).Draw(t, "restarts") == 0 {
				full.Incarnation, full.Ended, sequence = full.Incarnation+1, nil, 0
			}
			acknowledged := rapid.IntRange(0, len(full.Ended)).Draw(t, "acknowledged")
			full.Ended = append([]runner.End{}, full.Ended[acknowledged:]...)
			for range rapid.IntRange(0, 3).Draw(t, "ends") {
				sequence++
				full.Ended = append(full.Ended, runner.End{Sequence: sequence, Task: "a", Run: rapid.Uint64Range(1, 2).Draw(t, "run"), Kind: runner.Done})
			}
			var sent, received reply
			relay.shortenRepeated(&sent, 1, full)
			wire, err := cbor.Marshal(&sent)
			if err != nil {
				t.Fatal(err)
			}
			if err := cbor.NewDecoder(bytes.NewReader(wire)).Decode(&received); err != nil {
				t.Fatal(err)
			}
			if got, ok := owner.restore(&received); !ok || !reflect.DeepEqual(got, full) {
				t.Fatalf("got %+v, %v, want %+v", got, ok, full)
			}
		}
	})
}

func TestUnknownEndReferenceIsRejected(t *testing.T) {
	for _, repeated := range []int{-1, 1} {
		if _, ok := (reportCodec{}).restore(&reply{RepeatedEnds: repeated, Report: &report{Worker: 1}}); ok {
			t.Errorf("%d ends of an empty report were accepted", repeated)
		}
	}
}

// Guards against ends that are lost between instances of different versions.
func TestEndsAreRepeatedForAnOwnerThatDoesNotRestoreThem(t *testing.T) {
	full := runner.Report{Ended: []runner.End{{Sequence: 1, Task: "a", Run: 1, Kind: runner.Done}}}
	for _, reads := range []bool{false, true} {
		s := newSession(nil, nil)
		s.readsRepeatedEnds = reads
		known := reportCodec{}
		var last outgoing
		for range 2 {
			last = outgoing{worker: 1, report: &full}
			s.shorten(&last, known)
		}
		if listed := len(last.Report.Ended); listed == 1 == reads {
			t.Errorf("owner that restores repeated ends: %v, ends listed again: %d", reads, listed)
		}
	}
}

// endedWorkers reports ends that are never acknowledged.
type endedWorkers struct {
	fakeWorkers
	ended []runner.End
}

func (w *endedWorkers) Poll(context.Context, runner.Target, runner.Poll) (runner.Report, error) {
	return runner.Report{Incarnation: 1, Clock: time.Second, Ended: w.ended}, nil
}

// Load: polls of a worker with 30 ends that cannot be acknowledged, which took 1.1 KB each and kept
// a 2 Mbit/s link full, so that the store could not be reached. Limit: 100 bytes a poll.
func TestBytesOfUnacknowledgedEnds(t *testing.T) {
	s := newSite(t)
	workers := &endedWorkers{}
	for n := range 30 {
		workers.ended = append(workers.ended, runner.End{Sequence: uint64(n + 1), Task: fmt.Sprintf("5c0e7a21d94b36f8.0.1.%d", n), Run: 65, Kind: runner.LeaseExpired})
	}
	s.server.workers = workers
	var bytes atomic.Int64
	counting := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialRelay(ctx, address)
		return &countedConn{conn, func(n int) { bytes.Add(int64(n)) }}, err
	}
	l := openLink(cellpeer.Instance{Name: "edge-1", Address: s.proxy.Address()}, counting, linkEvents{ended: func(*Link) {}}, logger(t))
	defer l.endWithoutBackoff("the test is over")
	poll := func() {
		t.Helper()
		got := l.do(within(t), callTo(w1, request{Poll: pollFrom(runner.Poll{Token: 7})}))
		if got.err != nil || len(got.report.Ended) != len(workers.ended) {
			t.Fatalf("%d ends listed, %v", len(got.report.Ended), got.err)
		}
	}
	poll()
	bytes.Store(0)
	const polls = 100
	for range polls {
		poll()
	}
	if got := bytes.Load() / polls; got > 100 {
		t.Errorf("a poll takes %d bytes", got)
	} else {
		t.Logf("a poll takes %d bytes", got)
	}
}
