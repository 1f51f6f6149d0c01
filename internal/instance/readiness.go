package instance

import "errors"

var (
	errNoTable  = errors.New("the table has not been read yet")
	errDraining = errors.New("a planned stop is under way")
)

// readiness tells the balancer whether to send callers here. An outage of the
// table does not make an instance unready: requests go on.
func readiness(l *listener, lazy *lazyShards) error {
	switch {
	case lazy.stopping.Load():
		return errDraining
	case l.readAt.Load() == 0 && l.follower.current.Number() == 0:
		return errNoTable
	}
	return nil
}
