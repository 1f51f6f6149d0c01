package cellleader

import (
	"testing"

	"gentianstand/internal/cellpeer"
)

// A restarted owner must take the cell back at once, but only once. Otherwise nothing was planned
// for 0.3 s longer than necessary after a restart of all instances, or a process that crashed
// repeatedly kept the cell.
func TestReplacedOwnerReturnsOnce(t *testing.T) {
	self := cellpeer.Instance{Name: "edge-1", Incarnation: "new"}
	l := &Leader{directory: cellpeer.NewDirectory(self, nil, nil)}
	for name, c := range map[string]struct {
		claim claim
		want  bool
	}{
		"no claim":                 {claim{}, false},
		"of the process before":    {claim{version: 3, Holder: "edge-1", Incarnation: "old"}, true},
		"of the process before it": {claim{version: 3, Holder: "edge-1", Incarnation: "old", Returned: true}, false},
		"of this process":          {claim{version: 3, Holder: "edge-1", Incarnation: "new"}, false},
		"of another instance":      {claim{version: 3, Holder: "edge-2", Incarnation: "old"}, false},
		"given up before it ended": {claim{version: 3, Holder: "edge-1", Incarnation: "old", Released: true}, false},
	} {
		if got := l.replacesOwner(c.claim); got != c.want {
			t.Errorf("claim %s: replaces the owner %v, want %v", name, got, c.want)
		}
	}
}
