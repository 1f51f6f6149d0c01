package cellpeer

import (
	"errors"
	"fmt"

	"github.com/twitchtv/twirp"

	"gentianstand/internal/celljobs"
	"gentianstand/internal/store"
)

// storeError tells a peer whether a write certainly did nothing (unavailable)
// or may have taken effect (deadline exceeded).
func storeError(err error) error {
	if errors.Is(err, celljobs.ErrIDTaken) {
		return twirp.NewError(twirp.AlreadyExists, err.Error())
	}
	if errors.Is(err, store.ErrUnavailable) {
		return twirp.NewError(twirp.Unavailable, err.Error())
	}
	return twirp.NewError(twirp.DeadlineExceeded, err.Error())
}

// StoreErrorFrom reads what storeError wrote. Any other failure of the call
// leaves open whether the peer's write took effect.
func StoreErrorFrom(err error) error {
	var remote twirp.Error
	if errors.As(err, &remote) && remote.Code() == twirp.AlreadyExists {
		return celljobs.ErrIDTaken
	}
	if errors.As(err, &remote) && remote.Code() == twirp.Unavailable {
		return fmt.Errorf("%w: %s", store.ErrUnavailable, remote.Msg())
	}
	return fmt.Errorf("%w: %w", store.ErrUnknown, err)
}
