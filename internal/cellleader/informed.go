package cellleader

import (
	"slices"
	"sync"

	"gentianstand/internal/cellpeer"
)

// informed records which instances know of a term, so that they confirm no earlier owner.
type informed struct {
	mu    sync.Mutex
	names map[string]struct{}
}

func (i *informed) add(instance string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.names == nil {
		i.names = map[string]struct{}{}
	}
	i.names[instance] = struct{}{}
}

// missing returns those of a list that may not know of the term.
func (i *informed) missing(list []cellpeer.Instance) []cellpeer.Instance {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.DeleteFunc(list, func(instance cellpeer.Instance) bool {
		_, knows := i.names[instance.Name]
		return knows
	})
}
