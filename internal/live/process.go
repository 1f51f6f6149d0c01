package live

import (
	"fmt"
	"strings"
)

// Process identifies one incarnation of an instance. A restarted instance is a different Process
// even if it has the same address.
type Process struct {
	Instance    string
	Incarnation string
}

// String returns instance/incarnation.
func (p Process) String() string { return p.Instance + "/" + p.Incarnation }

// MarshalText implements encoding.TextMarshaler. The form is short, because every instance's row
// contains all its electors and each poll reads all rows.
func (p Process) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Process) UnmarshalText(text []byte) error {
	instance, incarnation, ok := strings.Cut(string(text), "/")
	if !ok {
		return fmt.Errorf("process %q is not of the form instance/incarnation", text)
	}
	p.Instance, p.Incarnation = instance, incarnation
	return nil
}
