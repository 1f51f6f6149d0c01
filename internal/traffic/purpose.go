package traffic

// Purpose is the use of a connection.
type Purpose string

// The purposes of an instance's connections.
const (
	// Callers are connections from callers to this instance.
	Callers Purpose = "callers"
	// Workers are connections to the agents of workers.
	Workers Purpose = "workers"
	// Store are connections to the platform's store.
	Store Purpose = "store"
	// Adviser are connections to the placement adviser.
	Adviser Purpose = "adviser"
	// Fleet are connections to the platform's list of machines.
	Fleet Purpose = "fleet"
	// Peers are connections to and from other instances.
	Peers Purpose = "peers"
	// Relays are connections over which an owner reaches workers through other instances.
	Relays Purpose = "relays"
)

// Purposes lists all purposes.
var Purposes = []Purpose{Callers, Workers, Store, Adviser, Fleet, Peers, Relays}
