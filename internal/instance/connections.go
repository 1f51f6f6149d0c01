package instance

import (
	"net"
	"net/http"
	"sync"
)

// connections tracks the open connections of a server by state.
type connections struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

func newConnections() *connections {
	return &connections{states: map[net.Conn]http.ConnState{}}
}

// stateChanged is the server's ConnState hook.
func (c *connections) stateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	c.states[conn] = state
}

// count returns the number of connections in a state.
func (c *connections) count(state http.ConnState) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.states {
		if s == state {
			n++
		}
	}
	return n
}
