package cellleader

import (
	"testing"
	"time"

	"gentianstand/internal/cellpeer/cellpb"
)

// In a slow store, a holder that does not know its claim yet must not be replaced: each takeover
// was followed by another one, and no task started for another 0.5 s.
func TestHolderThatDoesNotKnowItsClaimYetIsNotReplaced(t *testing.T) {
	for _, test := range []struct {
		name   string
		knows  uint64
		vacant time.Duration
		want   bool
	}{
		{"its write is under way", 4, 100 * time.Millisecond, false},
		{"it never learns of its claim", 4, vacancyTimeout, true},
		{"it has given the cell up", 5, 0, true},
		{"it knows a later owner", 6, 0, true},
	} {
		if got := disclaimsOwnership(&cellpb.PingReply{Term: test.knows}, 5, test.vacant); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}
