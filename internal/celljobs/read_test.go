package celljobs

import "testing"

// Guards against slow reads over a narrow link: a new owner on a small machine read the cell for
// 3 s and was replaced meanwhile.
func TestSmallLinksReadFewPartitionsAtATime(t *testing.T) {
	for _, test := range []struct {
		mbps float64
		want int
	}{{0, maxReaders}, {0.5, minReaders}, {2, 8}, {10, 40}, {20, maxReaders}, {1000, maxReaders}} {
		if got := ReadersFor(test.mbps); got != test.want {
			t.Errorf("over %v Mbit/s %d are read at a time, want %d", test.mbps, got, test.want)
		}
	}
}
