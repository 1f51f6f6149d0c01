// Package settings reads settings from flags, environment variables and defaults, in this order
// of precedence, and reports all errors at once.
package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
)

// EnvPrefix is the prefix of the names of all environment variables.
const EnvPrefix = "GENTIANSTAND_"

// Settings is a flag set whose flags can also be set by environment variables.
type Settings struct {
	*flag.FlagSet
	checks []check
	lookup func(string) (string, bool)
}

type check struct {
	flag    string
	allowed string
	ok      func() bool
}

// New returns the Settings of a command. -h prints usage above the list of flags.
func New(name, usage string, output io.Writer) *Settings {
	s := &Settings{FlagSet: flag.NewFlagSet(name, flag.ContinueOnError), lookup: os.LookupEnv}
	s.SetOutput(output)
	s.Usage = func() {
		fmt.Fprintf(output, "Usage: gentianstand %s\n\n%s\n\nFlags, each also as %s<FLAG>:\n", name, usage, EnvPrefix)
		s.PrintDefaults()
	}
	return s
}

// Check adds a condition on a flag, which Parse evaluates. allowed describes the valid values for
// the error message.
func (s *Settings) Check(flagName, allowed string, ok func() bool) {
	s.checks = append(s.checks, check{flag: flagName, allowed: allowed, ok: ok})
}

// Parse reads args and the environment. It returns flag.ErrHelp for -h. Otherwise it returns all
// errors together, each with the flag, its value and the allowed values.
func (s *Settings) Parse(args []string) error {
	if err := s.FlagSet.Parse(args); err != nil {
		return err
	}
	problems := s.readEnvironment()
	for _, c := range s.checks {
		if !c.ok() {
			value := s.Lookup(c.flag).Value.String()
			problems = append(problems, fmt.Errorf("-%s is %q; allowed: %s", c.flag, value, c.allowed))
		}
	}
	return errors.Join(problems...)
}

// EnvName returns the name of the environment variable for a flag.
func EnvName(flagName string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

func (s *Settings) readEnvironment() []error {
	given := map[string]bool{}
	s.Visit(func(f *flag.Flag) { given[f.Name] = true })
	var problems []error
	s.VisitAll(func(f *flag.Flag) {
		value, ok := s.lookup(EnvName(f.Name))
		if !ok || given[f.Name] {
			return
		}
		if err := s.Set(f.Name, value); err != nil {
			problems = append(problems, fmt.Errorf("%s is %q: %w", EnvName(f.Name), value, err))
		}
	})
	return problems
}
