package cellleader_test

import (
	"runtime"
	"strings"
	"testing"
	"time"
)

// An instance must not announce its claim after it has stopped. There is no third instance that could
// take over and announce its own claim.
func TestStoppedInstanceAnnouncesNothing(t *testing.T) {
	members := group(t, 2)
	first := owner(t, members)
	rest := without(members, first)
	for _, m := range members {
		m.front.Delay(200 * time.Millisecond)
	}
	first.leader.HandOver(t.Context())
	owner(t, rest).die()
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	if strings.Contains(string(stacks), "(*Leader).announce") {
		t.Error("the claim is still being announced")
	}
}
