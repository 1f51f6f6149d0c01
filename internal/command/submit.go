package command

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"gentianstand/internal/entry"
	"gentianstand/internal/settings"
)

const submitUsage = `Starts a run of a batch or job that the configuration declares. The same -key always
returns the same run, so a command that got no response can be retried safely.`

func submit(ctx context.Context, args []string, std Streams) int {
	var f operatorFlags
	s := settings.New("submit", submitUsage, std.Err)
	f.register(s)
	workload := s.String("workload", "", "name of the batch or job")
	key := s.String("key", "", "idempotency key; empty: a new run each time")
	s.Check("workload", "the name of a batch or job", func() bool { return *workload != "" })
	if code, done := parse(s, args, std); done {
		return code
	}
	header := http.Header{}
	if *key != "" {
		header.Set(entry.HeaderIdempotencyKey, *key)
	}
	var result entry.SubmitResult
	err := f.client().Do(ctx, http.MethodPost, "/v1/workloads/"+url.PathEscape(*workload)+"/runs", nil, header, nil, &result)
	return f.finish(std, err, result, func() { fmt.Fprintln(std.Out, result.Run) })
}
