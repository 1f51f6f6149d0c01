package instance

import "sync/atomic"

// lazyShards breaks a dependency cycle: the hub reports to other instances which shards this
// instance holds, and the listener, which depends on the hub, records them.
type lazyShards struct {
	listener *listener
	stopping atomic.Bool
}

func newLazyShards() *lazyShards { return &lazyShards{} }

func (l *lazyShards) get() map[string]uint64 {
	if l.listener == nil {
		return nil
	}
	return l.listener.held()
}
