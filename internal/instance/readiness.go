package instance

import "errors"

var (
	errNoTable  = errors.New("the table has not been read yet")
	errDraining = errors.New("a planned stop is under way")
)

// readiness returns an error if the load balancer should send no callers to this instance. An
// outage of the table doesn't make an instance unready, because requests are still served.
func readiness(l *listener, lazy *lazyShards) error {
	switch {
	case lazy.stopping.Load():
		return errDraining
	case l.readAt.Load() == 0 && l.follower.current.Number() == 0:
		return errNoTable
	}
	return nil
}
