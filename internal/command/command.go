// Package command is the command line: one file for each subcommand.
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

// Streams is where a command reads and writes.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// command is one subcommand.
type command struct {
	summary string
	run     func(ctx context.Context, args []string, std Streams) int
}

func commands() map[string]command {
	return map[string]command{
		"serve":    {"run an entry instance", serve},
		"instance": {"run an instance on the users' platform", instanceCommand},
		"dev":      {"run a whole system in one process, to try it out", devCommand},
		"apply":    {"put a text into force", apply},
		"plan":     {"show what a text would change, and change nothing", plan},
		"status":   {"show instances, shards and runs", status},
		"submit":   {"start a run of a batch or job", submit},
		"run":      {"show one run with its tasks", showRun},
		"cancel":   {"end a run, or all runs of a workload", cancel},
		"drain":    {"stop an instance or a worker as planned, or resume it", drain},
		"audit":    {"show who changed what", showAudit},
		"load":     {"send requests at a fixed rate and measure", loadCommand},
		"version":  {"print the version", version},
	}
}

// Main runs the subcommand that args name and returns the exit code.
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
