package planner

import (
	"testing"

	"gentianstand/internal/fleet"
	"gentianstand/internal/live"
)

// Guards against assignments that go to the previous owner for as long as the table is down, because the
// shard was handed over just before.
func TestAssignmentsGoToTheOwnerWithTheLatestEpoch(t *testing.T) {
	view := live.View{Shards: map[string]live.Shard{"rack-0": {Owner: live.Process{Instance: "entry-0"}, Epoch: 2}}}
	for name, test := range map[string]struct {
		report fleet.Report
		want   string
	}{
		"reported by the owner in the table": {fleet.Report{Owner: "entry-0", Epoch: 2}, "entry-0"},
		"reported by a later owner":          {fleet.Report{Owner: "entry-1", Epoch: 3}, "entry-1"},
		"reported by an earlier owner":       {fleet.Report{Owner: "entry-1", Epoch: 1}, "entry-0"},
		"not reported":                       {fleet.Report{}, "entry-0"},
	} {
		test.report.Shard = "rack-0"
		if got := currentOwner(view, test.report); got != test.want {
			t.Errorf("%s: %s, want %s", name, got, test.want)
		}
	}
}
