package access

import "gentianstand/internal/catalog"

// Grant describes how an allowed call is served.
type Grant struct {
	Queue *catalog.Queue
	// PathSuffix is the part of the path after the queue's prefix.
	PathSuffix string
	Caller     Caller
	// Catalog is the configuration that the decision is based on.
	Catalog *catalog.Catalog
}
