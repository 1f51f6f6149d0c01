// Package load sends requests at a fixed rate, whether or not earlier ones
// have been answered, and measures from the time at which each was meant to be
// sent. A slow system then cannot hide its waiting by slowing the sender down.
package load

import "time"

// Settings is what to send.
type Settings struct {
	// Servers are the instances (host:port), used in turn like behind a
	// balancer.
	Servers  []string
	Service  string
	Path     string
	Method   string
	Rate     float64
	Duration time.Duration
	Timeout  time.Duration
	BodySize int
	// Keys gives each request its own idempotency key.
	Keys bool
	// MostOpen bounds the requests under way; more are counted as not sent.
	MostOpen int
}
