package access

import "context"

// Confirmer brings the view of the configuration up to date.
type Confirmer interface {
	// Confirm returns an error if neither the store nor another instance could tell which
	// configuration is the newest.
	Confirm(ctx context.Context) error
}
