package command

import (
	"errors"
	"flag"
	"fmt"

	"gentianstand/internal/settings"
)

// parse reads a command's flags. done says that the command should end now
// with the exit code: after -h, or after mistakes, which are all printed.
func parse(s *settings.Settings, args []string, std Streams) (code int, done bool) {
	err := s.Parse(args)
	switch {
	case err == nil:
		return exitOK, false
	case errors.Is(err, flag.ErrHelp):
		return exitOK, true
	default:
		fmt.Fprintln(std.Err, err)
		return exitUsage, true
	}
}
