package idempotency

import "time"

// Rights reports whether this process may act; see membership.Session.
type Rights interface {
	MayAct(now time.Time) bool
	Outage(now time.Time) bool
}
