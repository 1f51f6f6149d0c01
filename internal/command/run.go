package command

import (
	"context"
	"fmt"
	"net/http"
	"text/tabwriter"

	"gentianstand/internal/run"
	"gentianstand/internal/settings"
)

const runUsage = `Shows one run with the state, worker and result of each of its tasks.`

func showRun(ctx context.Context, args []string, std Streams) int {
	var f operatorFlags
	s := settings.New("run", runUsage, std.Err)
	f.register(s)
	id := s.String("id", "", "ID of the run")
	s.Check("id", "the id of a run, as status shows it", func() bool { return *id != "" })
	if code, done := parse(s, args, std); done {
		return code
	}
	var r run.Run
	err := f.client().Do(ctx, http.MethodGet, "/v1/runs/"+*id, nil, nil, nil, &r)
	return f.finish(std, err, r, func() { printRun(std, r) })
}

func printRun(std Streams, r run.Run) {
	fmt.Fprintf(std.Out, "%s: %s %s %s\n", r.ID, r.Workload.Kind, r.State, r.Reason)
	w := tabwriter.NewWriter(std.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "TASK\tSTATE\tATTEMPT\tWORKER\tRESULT\tREASON")
	for i, t := range r.Tasks {
		fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\t%s\n", i, t.State, t.Attempt, t.Worker, t.Result, t.Reason)
	}
	_ = w.Flush()
}
