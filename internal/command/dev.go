package command

import (
	"context"
	"fmt"
	"io"

	"gentianstand/internal/dev"
	"gentianstand/internal/settings"
)

const devUsage = `Runs an in-memory platform, entry instances and simulated workers in one process on
loopback ports, until Ctrl-C. With -check it applies a sample configuration, runs
it end to end, prints a line for each step, and exits: with code 0 if all steps
passed, otherwise with code 1.`

func devSettings(s *settings.Settings, c *dev.Settings) {
	s.IntVar(&c.Instances, "instances", 3, "number of entry instances")
	s.IntVar(&c.Workers, "workers", 6, "number of workers")
	s.IntVar(&c.WorkersPerRack, "workers-per-rack", 2, "workers in a rack")
	s.StringVar(&c.LogLevel, "log-level", "error", "minimum severity of logged events: debug, info, warning or error")
	s.Check("instances", "1 to 9", func() bool { return c.Instances >= 1 && c.Instances <= 9 })
	s.Check("workers", "1 to 100", func() bool { return c.Workers >= 1 && c.Workers <= 100 })
	s.Check("workers-per-rack", "1 to 100", func() bool { return c.WorkersPerRack >= 1 && c.WorkersPerRack <= 100 })
}

func devCommand(ctx context.Context, args []string, std Streams) int {
	var c dev.Settings
	s := settings.New("dev", devUsage, std.Err)
	devSettings(s, &c)
	check := s.Bool("check", false, "run the sample configuration end to end and exit")
	if code, done := parse(s, args, std); done {
		return code
	}
	sys, err := dev.Start(ctx, c, std.Err)
	defer sys.Stop()
	if err != nil {
		fmt.Fprintln(std.Err, err)
		return exitFailed
	}
	if *check {
		if !dev.Check(ctx, sys, std.Out) {
			return exitFailed
		}
		return exitOK
	}
	describe(std.Out, sys)
	<-ctx.Done()
	return exitOK
}

func describe(out io.Writer, sys *dev.System) {
	fmt.Fprintf(out, "platform:  %s\n", sys.Platform)
	for _, address := range sys.Instances {
		fmt.Fprintf(out, "instance:  %s\n", address)
	}
	server := sys.Instances[0]
	fmt.Fprintf(out, "\nTry, in another terminal:\n")
	fmt.Fprintf(out, "  gentianstand apply -server %s -file examples/dev.yaml\n", server)
	fmt.Fprintf(out, "  gentianstand status -server %s\n", server)
	fmt.Fprintf(out, "  curl http://%s/s/casedesk/cases/17\n\nCtrl-C stops it.\n", server)
}
