package roster

import (
	"context"
	"sync"
	"time"
)

// ServiceFilter passes over the workers of services that the configuration does not name: an entry
// of another writer would be called for ever. They are kept, because a later configuration
// may name them. It is safe for concurrent use.
type ServiceFilter struct {
	source Source
	// isConfigured reports whether the configuration in force names a service; before there is
	// one it has to say so of all, or a new owner would begin without workers.
	isConfigured func(service string) bool

	mu sync.Mutex
	// withheld are the workers that were passed over, by id.
	withheld map[string]Worker
}

// NewServiceFilter returns source without the workers of services that are not named.
func NewServiceFilter(source Source, named func(service string) bool) *ServiceFilter {
	return &ServiceFilter{source: source, isConfigured: named, withheld: map[string]Worker{}}
}

// All implements Source.
func (n *ServiceFilter) All(ctx context.Context) (Change, error) {
	return n.filter(n.source.All(ctx))
}

// Since implements Source.
func (n *ServiceFilter) Since(ctx context.Context, version uint64, wait time.Duration) (Change, error) {
	return n.filter(n.source.Since(ctx, version, wait))
}

// filter holds strangers back, and adds those that have been named since. What comes with
// an error is not used by callers, so nothing is handed out with one.
func (n *ServiceFilter) filter(change Change, err error) (Change, error) {
	if err != nil {
		return Change{}, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range change.Removed {
		delete(n.withheld, id)
	}
	for _, w := range change.Workers {
		n.withheld[w.ID] = w
	}
	change.Workers = nil
	for id, w := range n.withheld {
		if n.isConfigured(w.Service) {
			change.Workers = append(change.Workers, w)
			delete(n.withheld, id)
		}
	}
	return change, nil
}
