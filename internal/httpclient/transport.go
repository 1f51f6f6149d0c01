// Package httpclient makes the HTTP transports of all clients.
package httpclient

import (
	"net"
	"net/http"
	"time"

	"gentianstand/internal/traffic"
)

// idleTimeout is how long a connection without calls is kept: longer than any pause
// between calls to a peer in use, shorter than what stateful middleboxes forget.
const idleTimeout = 30 * time.Second

// NewTransport returns a transport that keeps up to idle connections to each address
// and gives a new one up after dialTimeout. Calls are bounded by their contexts. The
// connections are counted for their purpose.
func NewTransport(p traffic.Purpose, dialTimeout time.Duration, idle int) *http.Transport {
	return &http.Transport{
		DialContext:         traffic.CounterFor(p).WrapDial((&net.Dialer{Timeout: dialTimeout}).DialContext),
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
