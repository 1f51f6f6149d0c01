package platform

import "context"

// Directory is the platform's list of instances. It lags behind the truth by
// seconds, so it proposes whom to contact and never proves that one is gone.
type Directory interface {
	Instances(ctx context.Context) ([]Instance, error)
}
