package idempotency

import "time"

// Rights tells what this process may do; see membership.Session.
type Rights interface {
	MayAct(now time.Time) bool
	Outage(now time.Time) bool
}
