package cell

import (
	"fmt"
	"slices"
	"strings"
)

// MechanismSet is a set of mechanisms that are switched off. It implements flag.Value.
type MechanismSet map[Mechanism]struct{}

// String returns the set as Set takes it.
func (s MechanismSet) String() string {
	var names []string
	for m := range s {
		names = append(names, string(m))
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}

// Has reports whether a mechanism is switched off.
func (s MechanismSet) Has(m Mechanism) bool {
	_, off := s[m]
	return off
}

// Set takes names with commas between them; an empty text is the empty set.
func (s *MechanismSet) Set(text string) error {
	set := MechanismSet{}
	for name := range strings.SplitSeq(text, ",") {
		m := Mechanism(strings.TrimSpace(name))
		switch {
		case slices.Contains(Mechanisms, m):
			set[m] = struct{}{}
		case m != "":
			return fmt.Errorf("%q is no mechanism; there are %s", m, mechanismNames())
		}
	}
	*s = set
	return nil
}
