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

// outvote reports whether so many instances know of the term that no earlier owner is confirmed by most
// of them. listed are all instances but this one, and the earlier owner is one of them.
func (i *informed) outvote(listed []cellpeer.Instance) bool {
	all := len(listed) + 1
	return 2*len(i.missing(listed)) <= all
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
