// Package load sends requests at a fixed rate, whether or not earlier ones
// have been answered, and measures latencies from the scheduled send times. A
// slow system therefore cannot hide latency by slowing down the sender
// (coordinated omission).
package load

import "time"

// Settings configures the load.
type Settings struct {
	// Servers are the instances (host:port), used in turn, as behind a
	// load balancer.
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
	// MaxOpen bounds the requests in progress; further ones are counted as not sent.
	MaxOpen int
}
