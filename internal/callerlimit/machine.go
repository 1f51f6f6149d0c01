package callerlimit

// Machine describes the limits of the process. Zero means that a limit is not known.
type Machine struct {
	MemoryBytes int64
	Descriptors int
}

// The assumptions about limits that are not known.
const (
	defaultMemoryBytes = 256 << 20
	defaultDescriptors = 1024
)

// withDefaults returns m with assumptions in place of limits that are not known.
func (m Machine) withDefaults() Machine {
	if m.MemoryBytes <= 0 {
		m.MemoryBytes = defaultMemoryBytes
	}
	if m.Descriptors <= 0 {
		m.Descriptors = defaultDescriptors
	}
	return m
}
