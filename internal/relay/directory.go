package relay

import "gentianstand/internal/cellpeer"

// Directory knows the instances that may be relays.
type Directory interface {
	// Self returns this instance.
	Self() cellpeer.Instance
	// Others returns the other instances.
	Others() []cellpeer.Instance
}
