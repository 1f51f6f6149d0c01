package access

import (
	"time"

	"gentianstand/internal/catalog"
	"gentianstand/internal/steady"
)

const (
	// maxViewAgeShare of the time after which a removed key must not work is how long a view
	// serves after it was confirmed; the rest is for clocks that drift and for feeds that
	// hear of a change late.
	maxViewAgeShare = 0.7
	// maxRejectAge is how old a view may be that refuses a key for good: a caller whose key
	// was added a moment ago must not be told that there is none.
	maxRejectAge = 250 * time.Millisecond
)

// Policy is what a deployment demands of calls.
type Policy struct {
	// KeysNeeded says that queues which are not public need a key.
	KeysNeeded bool
	// RevokedWithin is the time after which a removed key must not work on any instance,
	// in touch with the store or not; 0 is no such time.
	RevokedWithin time.Duration
}

// MaxViewAge returns how long a view serves calls with keys after it was confirmed; 0 is for as
// long as there is no newer one.
func (p Policy) MaxViewAge() time.Duration {
	if !p.KeysNeeded {
		return 0
	}
	return time.Duration(maxViewAgeShare * float64(p.RevokedWithin))
}

// decide says what a view means for a call at an instant after the call was read.
func (p Policy) decide(view catalog.View, call Call, now steady.Instant) (Grant, verdict) {
	if view.Catalog == nil {
		return Grant{}, noCatalog
	}
	old := p.MaxViewAge() > 0 && view.Age(now) >= p.MaxViewAge()
	queue, rest, found := view.Catalog.Match(call.Host, call.Path)
	grant := Grant{Queue: queue, PathSuffix: rest, Catalog: view.Catalog}
	switch {
	case !found && old:
		return Grant{}, outdated
	case !found:
		return Grant{}, noQueue
	case !p.KeysNeeded, queue.Public && !old:
		grant.Caller = Caller{Anonymous: true}
		return grant, allowed
	}
	workspace, known := view.Catalog.WorkspaceOf(catalog.DigestOf(call.Key))
	switch {
	case known && !old:
		grant.Caller = Caller{Workspace: workspace}
		return grant, allowed
	case !known && view.ConfirmedAt >= call.ArrivedAt.Add(-maxRejectAge):
		return Grant{}, unknownKey
	}
	return Grant{}, outdated
}
