package relay

import "gentianstand/internal/cellpeer"

// Directory lists the instances that can act as relays.
type Directory interface {
	// Self returns this instance.
	Self() cellpeer.Instance
	// Others returns the other instances.
	Others() []cellpeer.Instance
}
