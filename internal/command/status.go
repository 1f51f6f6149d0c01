package command

import (
	"context"
	"fmt"
	"net/http"
	"text/tabwriter"

	"gentianstand/internal/entry"
	"gentianstand/internal/planner"
	"gentianstand/internal/settings"
)

const statusUsage = `Shows the instances with the configuration in force at each, how many shards
each owns, and all runs.`

func status(ctx context.Context, args []string, std Streams) int {
	var f operatorFlags
	s := settings.New("status", statusUsage, std.Err)
	f.register(s)
	if code, done := parse(s, args, std); done {
		return code
	}
	var st entry.Status
	err := f.client().Do(ctx, http.MethodGet, "/v1/status", nil, nil, nil, &st)
	return f.finish(std, err, st, func() { printStatus(std, st) })
}

func printStatus(std Streams, st entry.Status) {
	fmt.Fprintf(std.Out, "configuration %d at %s; planner: %s\n\n", st.Config, st.Instance, st.Planner)
	shards := map[string]int{}
	for _, shard := range st.Shards {
		shards[shard.Owner.Instance]++
	}
	w := tabwriter.NewWriter(std.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tZONE\tADDRESS\tCONFIG\tSHARDS\tSTATE")
	for _, inst := range st.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", inst.Instance, inst.Zone, inst.Address, inst.Config, shards[inst.Instance], instanceState(inst))
	}
	fmt.Fprintln(w)
	printRuns(w, st.Runs)
	_ = w.Flush()
	if st.RunsError != "" {
		fmt.Fprintf(std.Out, "runs: %s\n", st.RunsError)
	}
}

func instanceState(inst entry.InstanceStatus) string {
	switch {
	case inst.Stopping:
		return "stopping"
	case inst.Reachable:
		return "up"
	default:
		return "not heard"
	}
}

func printRuns(w *tabwriter.Writer, runs []planner.Summary) {
	fmt.Fprintln(w, "RUN\tKIND\tTEAM\tSTATE\tTASKS\tRUNNING\tSUCCEEDED\tFAILED\tREASON")
	for _, r := range runs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", r.ID, r.Kind, r.Team, r.State, r.Tasks, r.Running, r.Succeeded, r.Failed, r.Reason)
	}
}
