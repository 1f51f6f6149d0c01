package command

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"gentianstand/internal/entry"
	"gentianstand/internal/settings"
)

const cancelUsage = `Cancels one run, or all runs of a workload. Set exactly one of -id and -workload.`

func cancel(ctx context.Context, args []string, std Streams) int {
	var f operatorFlags
	s := settings.New("cancel", cancelUsage, std.Err)
	f.register(s)
	id := s.String("id", "", "ID of a run")
	workload := s.String("workload", "", "name of a workload")
	s.Check("id", "set exactly one of -id and -workload", func() bool { return (*id == "") != (*workload == "") })
	if code, done := parse(s, args, std); done {
		return code
	}
	path := "/v1/runs/" + url.PathEscape(*id)
	if *workload != "" {
		path = "/v1/workloads/" + url.PathEscape(*workload) + "/runs"
	}
	var result entry.CancelResult
	err := f.client().Do(ctx, http.MethodDelete, path, nil, nil, nil, &result)
	return f.finish(std, err, result, func() { fmt.Fprintf(std.Out, "%d cancelled\n", result.Cancelled) })
}
