package cellowner

import (
	"testing"

	"gentianstand/internal/runner"
)

// The first ends of a restarted worker must count as new: otherwise no commit is triggered, and
// their acknowledgement is late.
func TestEndsOfAnotherIncarnationAreNew(t *testing.T) {
	ends := func(incarnation runner.Incarnation, sequences ...uint64) newestEnd {
		r := runner.Report{Incarnation: incarnation}
		for _, n := range sequences {
			r.Ended = append(r.Ended, runner.End{Sequence: n})
		}
		return newestEndOf(r)
	}
	tests := []struct {
		name      string
		now, last newestEnd
		want      bool
	}{
		{"the first one", ends(1, 1), newestEnd{}, true},
		{"listed again", ends(1, 7, 6), ends(1, 6, 7), false},
		{"one more", ends(1, 7, 8), ends(1, 7), true},
		{"none", ends(1), ends(1, 7), false},
		{"of the next incarnation", ends(2, 1), ends(1, 57), true},
		{"no end of the next incarnation", ends(2), ends(1, 57), false},
		{"of a worker that reports no incarnation", ends(0, 3), ends(0, 2), true},
	}
	for _, test := range tests {
		if got := test.now.newerThan(test.last); got != test.want {
			t.Errorf("%s: new %v, want %v", test.name, got, test.want)
		}
	}
}
