package platform

import "context"

// Directory is the platform's list of instances. It is out of date by up to some seconds,
// so it suggests which instances to contact but never proves that one is gone.
type Directory interface {
	// Instances returns the current list.
	Instances(ctx context.Context) ([]Instance, error)
}
