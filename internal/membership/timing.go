package membership

import "time"

// Timing holds the periods that the protocol rests on. Drift is the greatest
// relative difference between two clocks' rates that is tolerated.
type Timing struct {
	// Poll is how often an instance reads the watched rows and renews.
	Poll time.Duration
	// SessionTTL is how long an unchanged row counts as alive.
	SessionTTL time.Duration
	// AttestAfter is how long the table must be silent before an elector
	// vouches, and VouchTTL how long a vouch counts.
	AttestAfter    time.Duration
	AttestationTTL time.Duration
	// WorkerLease is how long a worker goes on without hearing its owner.
	WorkerLease time.Duration
	// HandoverGrace is how long an owner that gave a shard away keeps its workers
	// served until the next owner has claimed them.
	HandoverGrace time.Duration
	// OutageGrace bounds how long an owner goes on in an outage, and so how
	// long a newcomer waits that could not fence it.
	OutageGrace time.Duration
	Drift       float64
}

// DefaultTiming returns the periods used in production.
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

// Longer returns d stretched by the tolerated drift.
func (t Timing) Longer(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.Drift))
}

// Shorter returns d shortened by the tolerated drift.
func (t Timing) Shorter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - t.Drift))
}
