package access

import (
	"time"

	"gentianstand/internal/boottime"
	"gentianstand/internal/catalog"
)

const (
	// maxViewAgeShare is the part of Policy.RevokedWithin for which a view may be used after it
	// was confirmed. The rest allows for clock drift and for change feeds that deliver late.
	maxViewAgeShare = 0.7
	// maxRejectAge is the maximum age of a view that may reject a key permanently. A caller
	// whose key was added a moment ago must not get the answer that the key is unknown.
	maxRejectAge = 250 * time.Millisecond
)

// Policy holds the access rules of a deployment.
type Policy struct {
	// KeysNeeded means that queues that are not public require an API key.
	KeysNeeded bool
	// RevokedWithin is the time after which every instance must refuse a removed key, even an
	// instance that cannot reach the store; 0 means no such limit.
	RevokedWithin time.Duration
}

// MaxViewAge returns how long after its confirmation a view may decide calls with keys; 0 means
// until a newer view replaces it.
func (p Policy) MaxViewAge() time.Duration {
	if !p.KeysNeeded {
		return 0
	}
	return time.Duration(maxViewAgeShare * float64(p.RevokedWithin))
}

// decide evaluates a call against a view of the catalog. now is an instant after the call
// was read.
func (p Policy) decide(view catalog.View, call Call, now boottime.Instant) (Grant, verdict) {
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
