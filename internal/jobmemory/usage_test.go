package jobmemory

import (
	"testing"

	"gentianstand/internal/job"
)

func TestJobsFitWithinTheLimit(t *testing.T) {
	for _, test := range []struct {
		usage Usage
		bytes int64
		want  bool
	}{
		{Usage{Bytes: 60, Limit: 100}, 10, true},
		{Usage{Bytes: 60, Limit: 100}, 11, false},
		{Usage{Bytes: 0, Limit: 100}, 1000, true},
		{Usage{Bytes: 1000}, 1000, true},
		{Usage{Bytes: 60, Limit: 100}.Plus(20), 6, false},
		{Usage{Bytes: 120, Limit: 100}, 1, false},
	} {
		if got := test.usage.Fits(test.bytes); got != test.want {
			t.Errorf("%+v: %d bytes fit: %v", test.usage, test.bytes, got)
		}
	}
}

// Guards against large jobs that never end and leave no room for small ones.
func TestLargeJobsLeaveRoomForSmallOnes(t *testing.T) {
	large := &job.Record{Steps: []job.Step{{Count: job.MaxTasks}}}
	small := &job.Record{Steps: []job.Step{{Count: 1}}}
	usage := Usage{Limit: LimitFor(144 << 20)}
	accepted := 0
	for usage.Fits(Of(large)) {
		usage = usage.Plus(Of(large))
		accepted++
	}
	if accepted == 0 {
		t.Error("no large job is accepted")
	}
	for range 1000 {
		if !usage.Fits(Of(small)) {
			t.Fatalf("a small job does not fit beside %d large ones: %+v", accepted, usage)
		}
		usage = usage.Plus(Of(small))
	}
}

// Guards against a limit that refuses ordinary work: two thousand jobs that wait, with the sizes of the
// busiest sites, beside all tasks of the design size.
func TestLimitHoldsOrdinaryWork(t *testing.T) {
	const mebi = 1 << 20
	waiting := &job.Record{Spec: "a text of some 150 bytes", Steps: []job.Step{{Count: 6}, {Count: 8, DependsOn: []int{0}}}}
	running := &job.Record{Steps: []job.Step{{Count: 14000}}}
	usage := Usage{Limit: LimitFor(144 * mebi)}.Plus(Of(running))
	for range 2000 {
		if !usage.Fits(Of(waiting)) {
			t.Fatalf("a job of %d bytes does not fit beside %+v", Of(waiting), usage)
		}
		usage = usage.Plus(Of(waiting))
	}
}
