package entry

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/gin-gonic/gin"

	"gentianstand/internal/planner"
	"gentianstand/internal/run"
)

// rememberingRuns records the context of the last call.
type rememberingRuns struct {
	Runs
	last context.Context
}

func (r *rememberingRuns) Summaries(ctx context.Context) ([]planner.Summary, error) {
	r.last = ctx
	return nil, nil
}

func (r *rememberingRuns) Run(ctx context.Context, _ string) (run.Run, error) {
	r.last = ctx
	return run.Run{}, nil
}

type requestName struct{}

// Guards against a call that outlives its request and then reads the context of the next
// operator's request, because gin reuses contexts.
func TestCallsKeepTheirOwnRequest(t *testing.T) {
	runs := &rememberingRuns{}
	s := &Server{runs: runs}
	for name, handler := range map[string]func(*gin.Context) (any, error){"list": s.listRuns, "one": s.getRun} {
		c, _ := gin.CreateTestContext(httptest.NewRecorder())
		first := httptest.NewRequest("GET", "/runs", nil)
		c.Request = first.WithContext(context.WithValue(first.Context(), requestName{}, "first"))
		if _, err := handler(c); err != nil {
			t.Fatal(err)
		}
		c.Request = first.WithContext(context.WithValue(first.Context(), requestName{}, "second"))
		if got := runs.last.Value(requestName{}); got != "first" {
			t.Errorf("%s: the call has the context of request %v", name, got)
		}
	}
}
