package cell

import (
	"fmt"
	"slices"
	"strings"
)

// MechanismSet is the set of disabled mechanisms. It implements flag.Value.
type MechanismSet map[Mechanism]struct{}

// String returns the set in the form that Set accepts.
func (s MechanismSet) String() string {
	var names []string
	for m := range s {
		names = append(names, string(m))
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}

// Has reports whether a mechanism is disabled.
func (s MechanismSet) Has(m Mechanism) bool {
	_, off := s[m]
	return off
}

// Set parses a comma-separated list of names. An empty text is the empty set.
func (s *MechanismSet) Set(text string) error {
	set := MechanismSet{}
	for name := range strings.SplitSeq(text, ",") {
		m := Mechanism(strings.TrimSpace(name))
		switch {
		case slices.Contains(Mechanisms, m):
			set[m] = struct{}{}
		case m != "":
			return fmt.Errorf("unknown mechanism %q; the mechanisms are %s", m, mechanismNames())
		}
	}
	*s = set
	return nil
}
