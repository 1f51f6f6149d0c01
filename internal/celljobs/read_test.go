package celljobs

import "testing"

// Failure: a new owner on a small machine reads the cell for three seconds, and is
// overtaken meanwhile.
func TestSmallLinksReadFewPartitionsAtATime(t *testing.T) {
	for _, test := range []struct {
		mbps float64
		want int
	}{{0, mostReaders}, {0.5, leastReaders}, {2, 8}, {10, 40}, {20, mostReaders}, {1000, mostReaders}} {
		if got := ReadersFor(test.mbps); got != test.want {
			t.Errorf("over %v Mbit/s %d are read at a time, want %d", test.mbps, got, test.want)
		}
	}
}
