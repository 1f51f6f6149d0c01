package membership

import "time"

// Timing holds the durations that the protocol depends on. Drift is the maximum
// tolerated relative difference between the rates of two clocks.
type Timing struct {
	// Poll is how often an instance reads the watched rows and renews its
	// session.
	Poll time.Duration
	// SessionTTL is how long a process with an unchanged row counts as alive.
	SessionTTL time.Duration
	// AttestAfter is how long the table must be unresponsive before an elector
	// attests an outage, and AttestationTTL how long an attestation is valid.
	AttestAfter    time.Duration
	AttestationTTL time.Duration
	// WorkerLease is how long a worker continues to run without contact with
	// its owner.
	WorkerLease time.Duration
	// HandoverGrace is how long an owner that handed a shard over continues to
	// serve its workers, until the next owner has claimed them.
	HandoverGrace time.Duration
	// OutageGrace bounds how long an owner continues during an outage, and thus
	// how long a new owner waits that could not fence it.
	OutageGrace time.Duration
	Drift       float64
}

// DefaultTiming returns the durations used in production.
func DefaultTiming() Timing {
	return Timing{
		Poll:           750 * time.Millisecond,
		SessionTTL:     2800 * time.Millisecond,
		AttestAfter:    1500 * time.Millisecond,
		AttestationTTL: 3 * time.Second,
		WorkerLease:    10 * time.Second,
		HandoverGrace:  3 * time.Second,
		OutageGrace:    3 * time.Hour,
		Drift:          0.02,
	}
}

// Longer returns d increased by the tolerated drift.
func (t Timing) Longer(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.Drift))
}

// Shorter returns d reduced by the tolerated drift.
func (t Timing) Shorter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - t.Drift))
}
