package instance

import "sync/atomic"

// lazyShards breaks the circle between the hub, which tells others what this
// instance holds, and the listener, which learns it.
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
