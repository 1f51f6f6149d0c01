package command

import (
	"context"
	"fmt"
	"runtime/debug"

	"gentianstand/internal/settings"
)

func version(_ context.Context, args []string, std Streams) int {
	s := settings.New("version", "Prints the version of this binary and of Go.", std.Err)
	if code, done := parse(s, args, std); done {
		return code
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(std.Out, "gentianstand (unknown)")
		return exitOK
	}
	fmt.Fprintf(std.Out, "gentianstand %s %s\n", info.Main.Version, info.GoVersion)
	return exitOK
}
