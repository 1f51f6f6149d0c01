package access

import "context"

// Confirmer updates this instance's view of the catalog.
type Confirmer interface {
	// Confirm checks that the view is the newest configuration or replaces it. It returns an
	// error if neither the store nor another instance could name the newest configuration.
	Confirm(ctx context.Context) error
}
