package roster

import (
	"context"
	"sync"
	"time"
)

// ServiceFilter is a Source that withholds the workers of services that are not configured.
// Otherwise the scheduler would poll entries of other writers indefinitely. Withheld workers
// are remembered, because a later configuration may add their service. ServiceFilter is safe
// for concurrent use.
type ServiceFilter struct {
	source Source
	// isConfigured reports whether the configuration in force names a service. Before a
	// configuration is loaded it must return true for all services, or a new owner would
	// start without workers.
	isConfigured func(service string) bool

	mu sync.Mutex
	// withheld are the workers that were not returned yet, by id.
	withheld map[string]Worker
}

// NewServiceFilter returns a filter that passes only the workers of configured services.
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

// filter removes workers of services that are not configured from a change, and adds those
// whose service has been configured since. With an error it returns an empty change and
// keeps its state, because callers ignore the change then.
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
