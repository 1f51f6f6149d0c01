package access

import "gentianstand/internal/catalog"

// Grant says how a call is served.
type Grant struct {
	Queue *catalog.Queue
	// PathSuffix is what follows the queue's prefix in the path.
	PathSuffix string
	Caller     Caller
	// Catalog is the one that the decision was made from.
	Catalog *catalog.Catalog
}
