package job

import (
	"testing"
	"time"
)

func TestObjectiveFollowsTheLongestChain(t *testing.T) {
	r := &Record{Stretch: 2, Target: time.Second, Steps: []Step{
		{Count: 1, Estimate: time.Second},
		{Count: 1, Estimate: 5 * time.Second},
		{Count: 1, Estimate: 3 * time.Second, DependsOn: []int{0}},
		{Count: 1, Estimate: 2 * time.Second, DependsOn: []int{2}},
	}}
	if got := r.Objective(); got != 13*time.Second {
		t.Errorf("objective is %v, want 2 x (1+3+2) s + 1 s", got)
	}
	r.Advice = &AdviceCost{PerCall: 100 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	if got := r.Objective(); got != 13*time.Second+2*3*400*time.Millisecond {
		t.Errorf("objective with advice is %v, want 2 x 3 x 400 ms more", got)
	}
	if r.LongRunning() {
		t.Error("the job counts as long-running, although no step is")
	}
}
