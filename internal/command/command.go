// Package command implements the command line, with one file per subcommand.
package command

import (
	"context"
	"fmt"
	"io"
	"sort"
)

// The exit codes of all subcommands.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// command is a subcommand with its summary for the help text.
type command struct {
	summary string
	run     func(ctx context.Context, args []string, std Streams) int
}

func commands() map[string]command {
	return map[string]command{
		"serve":    {"run an entry instance", serve},
		"instance": {"run an instance on the users' platform", instanceCommand},
		"dev":      {"run a whole system in one process for trials", devCommand},
		"apply":    {"put a configuration into force", apply},
		"plan":     {"show what a configuration would change, without changing anything", plan},
		"status":   {"show instances, shards and runs", status},
		"submit":   {"start a run of a batch or job", submit},
		"run":      {"show one run with its tasks", showRun},
		"cancel":   {"cancel a run, or all runs of a workload", cancel},
		"drain":    {"drain an instance or a worker, or resume a worker", drain},
		"audit":    {"show the audit trail", showAudit},
		"load":     {"send requests at a fixed rate and measure latencies", loadCommand},
		"version":  {"print the version", version},
	}
}

// Main runs the subcommand that the first of args names and returns the exit code.
func Main(ctx context.Context, args []string, std Streams) int {
	all := commands()
	if len(args) == 0 || args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		usage(std.Out, all)
		return exitOK
	}
	cmd, ok := all[args[0]]
	if !ok {
		fmt.Fprintf(std.Err, "gentianstand: no command %q\n\n", args[0])
		usage(std.Err, all)
		return exitUsage
	}
	return cmd.run(ctx, args[1:], std)
}

func usage(out io.Writer, all map[string]command) {
	fmt.Fprintf(out, "gentianstand schedules services, batch runs and jobs.\n\nUsage: gentianstand <command> [flags]\n\n")
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(out, "  %-9s %s\n", name, all[name].summary)
	}
	fmt.Fprintf(out, "\ngentianstand <command> -h lists a command's flags with their defaults and units.\n")
}
