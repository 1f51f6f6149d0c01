package relay

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"gentianstand/internal/runner"
)

// drawReport draws a report from a small set of tasks that come and go.
func drawReport(t *rapid.T) runner.Report {
	r := runner.Report{Incarnation: rapid.SampledFrom([]runner.Incarnation{1767225600000, 1767225609000}).Draw(t, "born"), Running: []runner.RunState{}, Ended: []runner.End{}}
	for _, task := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), rapid.ID[string]).Draw(t, "tasks") {
		r.Running = append(r.Running, runner.RunState{Task: task, Run: rapid.Uint64Range(1, 3).Draw(t, "run"),
			Checkpoint: rapid.SampledFrom([]string{"", "s1", "s2"}).Draw(t, "saved"), Percent: rapid.IntRange(0, 100).Draw(t, "percent"),
			Gauge: float64(rapid.IntRange(0, 5000).Draw(t, "gauge"))})
	}
	if rapid.Bool().Draw(t, "end") {
		r.Ended = append(r.Ended, runner.End{Sequence: 7, Task: "f", Run: 2, Kind: runner.Done, Checkpoint: "s"})
	}
	return r
}

// Both ends of a link must see the same reports, whatever their content.
func TestShortReportsAreRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relay, owner := reportCodec{}, reportCodec{}
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			worker := rapid.Uint32Range(1, 2).Draw(t, "worker")
			full := drawReport(t)
			var wire bytes.Buffer
			var sent reply
			relay.shorten(&sent, worker, full)
			if err := cbor.NewEncoder(&wire).Encode(&sent); err != nil {
				t.Fatal(err)
			}
			var short reply
			if err := cbor.NewDecoder(&wire).Decode(&short); err != nil {
				t.Fatal(err)
			}
			got, ok := owner.restore(&short)
			if !ok || !reflect.DeepEqual(got, full) {
				t.Fatalf("got %+v, %v, want %+v", got, ok, full)
			}
		}
	})
}

func TestUnknownRunReferenceIsRejected(t *testing.T) {
	for _, before := range []int{-1, 1, 3} {
		if _, ok := (reportCodec{}).restore(&reply{Report: &report{Worker: 1, Running: []runState{{PreviousPlace: before}}}}); ok {
			t.Errorf("index %d of an empty report was accepted", before)
		}
	}
}
