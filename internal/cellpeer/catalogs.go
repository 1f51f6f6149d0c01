package cellpeer

import (
	"context"
	"time"

	"gentianstand/internal/catalog"
)

// Catalogs is the part of an instance that other instances ask for the configuration.
type Catalogs interface {
	// Newest returns the newest configuration as the store told this instance, and how
	// long ago it asked. It returns an error if the store does not serve this instance.
	Newest(ctx context.Context) (c *catalog.Catalog, age time.Duration, err error)
}
