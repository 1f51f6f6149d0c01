package entry

import (
	"fmt"

	"gentianstand/internal/run"
	"gentianstand/internal/spec"
)

// describeChanges returns a readable list of the effects of applying text.
func (s *Server) describeChanges(text *spec.Text) []string {
	_, current := s.config.Get()
	list := []string{}
	for _, w := range text.Workloads {
		old, ok := current.Workload(w.Name)
		switch {
		case !ok:
			list = append(list, fmt.Sprintf("%s %s: new, %d tasks", w.Kind, w.Name, w.Tasks))
		case w.Kind == spec.Service && run.Definition(old) != run.Definition(w):
			list = append(list, fmt.Sprintf("service %s: replicas are replaced step by step", w.Name))
		case w.Kind == spec.Service && old.Tasks != w.Tasks:
			list = append(list, fmt.Sprintf("service %s: from %d to %d replicas", w.Name, old.Tasks, w.Tasks))
		case w.Kind != spec.Service && run.AppliedID(old) != run.AppliedID(w):
			list = append(list, fmt.Sprintf("%s %s: a new run; an unfinished one of the old definition is cancelled", w.Kind, w.Name))
		}
	}
	for _, old := range current.Workloads {
		if _, ok := text.Workload(old.Name); !ok {
			list = append(list, fmt.Sprintf("%s %s: ended", old.Kind, old.Name))
		}
	}
	return list
}
