package command

import (
	"errors"
	"flag"
	"fmt"

	"gentianstand/internal/settings"
)

// parse reads a command's flags. If done is set, the command must exit with code: either -h was
// given, or the flags are invalid and parse has printed all errors.
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
