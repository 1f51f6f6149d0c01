// Package httpclient creates the HTTP transports of all clients.
package httpclient

import (
	"net"
	"net/http"
	"time"

	"gentianstand/internal/traffic"
)

// idleTimeout is how long an idle connection is kept open. It is longer than any pause between
// calls to a peer in use, and shorter than the time after which stateful middleboxes drop a
// connection.
const idleTimeout = 30 * time.Second

// NewTransport returns a transport that keeps up to idle connections per address. dialTimeout
// bounds the establishment of a connection; calls are bounded by their contexts. The traffic of
// the connections is counted under the given purpose.
func NewTransport(p traffic.Purpose, dialTimeout time.Duration, idle int) *http.Transport {
	return &http.Transport{
		DialContext:         traffic.CounterFor(p).WrapDial((&net.Dialer{Timeout: dialTimeout}).DialContext),
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
