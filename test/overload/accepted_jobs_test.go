package overload

import (
	"fmt"
	"strings"
	"testing"
)

// The crowds that submit jobs with a large state, one after the other.
const (
	largeJobCrowds    = 15
	largeJobCrowdSize = 40
)

// chainedSteps returns a valid job of n steps of which each depends on all earlier ones. No worker has the
// accelerator that it needs, so it does not end.
func chainedSteps(n int) string {
	var steps []string
	var after []string
	for i := range n {
		steps = append(steps, `{"count":1,"cpu":1,"mem_mb":1,"gpu":1,"estimate_ms":10,"after":[`+strings.Join(after, ",")+`]}`)
		after = append(after, fmt.Sprint(i))
	}
	return `{"spec":"10ms","steps":[` + strings.Join(steps, ",") + `]}`
}

// Guards against an owner of the cell that accepts more work than its memory holds: each job is within the
// limits, and takes megabytes until it ends.
func TestManyJobsWithALargeState(t *testing.T) {
	bodies := map[string]string{
		"dependencies": chainedSteps(230),
		"tasks":        `{"spec":"10ms","steps":[{"count":10000,"cpu":1,"mem_mb":1,"gpu":1,"estimate_ms":10}]}`,
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			var answers []answer
			for n := range largeJobCrowds {
				c := newCrowd(w.callersAddress(), largeJobCrowdSize, shapes[0], func(i int) request {
					return submission(n*largeJobCrowdSize+i, len(body), []string{body})
				})
				w.waitFor("the crowd is answered", func() bool { return c.answered() == largeJobCrowdSize })
				answers = append(answers, c.leave()...)
			}
			w.serveOrdinary(ordinaryID)
			w.finish()
			t.Logf("answers by status: %s", statuses(answers))
			w.checkAnswers(answers)
		})
	}
}
