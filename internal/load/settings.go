// Package load generates load on a service and measures latencies. It is an open-loop generator:
// it sends requests at a fixed rate, whether or not earlier ones have been answered, and measures
// each latency from the scheduled send time. A slow system therefore cannot hide its latency by
// slowing down the sender (coordinated omission).
package load

import "time"

// Settings configure a Generator.
type Settings struct {
	// Servers are the instances (host:port), used in turn as a load balancer does.
	Servers  []string
	Service  string
	Path     string
	Method   string
	Rate     float64
	Duration time.Duration
	Timeout  time.Duration
	BodySize int
	// Keys sets a distinct idempotency key on each request.
	Keys bool
	// MaxInFlight is the maximum number of requests in flight. Further requests are not
	// sent; Report.NotSent counts them.
	MaxInFlight int
}
