package cellleader

import (
	"testing"
	"time"

	"gentianstand/internal/cellpeer/cellpb"
)

// Failure: in a slow store each take-over is followed by another one, and nothing is
// started for half a second more.
func TestHolderThatDoesNotKnowItsClaimYetIsNotOvertaken(t *testing.T) {
	for _, test := range []struct {
		name   string
		knows  uint64
		vacant time.Duration
		want   bool
	}{
		{"its write is under way", 4, 100 * time.Millisecond, false},
		{"it never learns of its claim", 4, vacantLimit, true},
		{"it has given the cell up", 5, 0, true},
		{"it knows a later owner", 6, 0, true},
	} {
		if got := disowns(&cellpb.PingReply{Term: test.knows}, 5, test.vacant); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}
