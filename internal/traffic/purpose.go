package traffic

// Purpose is what a connection is for.
type Purpose string

// The purposes of an instance's connections.
const (
	// Callers are the connections of callers to this instance.
	Callers Purpose = "callers"
	// Workers are those to the agents of workers.
	Workers Purpose = "workers"
	// Store are those to the platform's store.
	Store Purpose = "store"
	// Adviser are those to the placement adviser.
	Adviser Purpose = "adviser"
	// Fleet are those to the platform's list of machines.
	Fleet Purpose = "fleet"
	// Peers are those to other instances, and those of other instances to this one.
	Peers Purpose = "peers"
	// Relays are those over which an owner reaches workers through other instances.
	Relays Purpose = "relays"
)

// Purposes are all that there are.
var Purposes = []Purpose{Callers, Workers, Store, Adviser, Fleet, Peers, Relays}
