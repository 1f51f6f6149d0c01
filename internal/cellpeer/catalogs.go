package cellpeer

import (
	"context"
	"time"

	"gentianstand/internal/catalog"
)

// Catalogs provides the configuration that other instances request from this one.
type Catalogs interface {
	// Newest returns the newest configuration that this instance has read from the store,
	// and how long ago it read it. It returns an error if the instance has no access to the
	// store.
	Newest(ctx context.Context) (c *catalog.Catalog, age time.Duration, err error)
}
