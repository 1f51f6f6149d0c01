package spec

import (
	"strings"

	"gentianstand/internal/resource"
)

// check reports mistakes that can be found only once the whole text is read.
func (r *reader) check(doc *document) {
	for _, w := range doc.text.Workloads {
		r.checkTeam(doc, w)
		r.checkNeed(doc, w)
		r.checkDependencies(doc, w)
		r.checkTimes(doc, w)
	}
	r.checkCycles(doc)
}

func (r *reader) checkTeam(doc *document, w Workload) {
	if w.Team == "" {
		return
	}
	team, ok := doc.text.Team(w.Team)
	at := doc.nodes[w.Name]
	if !ok {
		r.fail(at, "%s %q names the unknown team %q", w.Kind, w.Name, w.Team)
		return
	}
	if need := minUsage(w); !team.Borrow && !need.Fits(team.Quota) {
		r.fail(at, "%s %q needs at least %s at once, above the quota of team %q, which may not borrow: %s", w.Kind, w.Name, need, w.Team, team.Quota)
	}
}

// minUsage returns the resources that must fit into the quota for the workload to make
// progress: those of all tasks of a service or job, or of one task of a batch run.
func minUsage(w Workload) resource.Amount {
	if w.Kind == Batch {
		return w.Need
	}
	return w.Need.Times(int64(w.Tasks))
}

func (r *reader) checkNeed(doc *document, w Workload) {
	if w.Need.IsZero() {
		r.fail(doc.nodes[w.Name], "%s %q needs nothing; allowed: some cpu, memory or accelerators", w.Kind, w.Name)
	}
}

func (r *reader) checkDependencies(doc *document, w Workload) {
	for i, name := range w.DependsOn {
		at := doc.dependsOnNodes[w.Name][i]
		if _, ok := doc.text.Workload(name); !ok && name != "" {
			r.fail(at, "%q depends on the unknown %q", w.Name, name)
		}
	}
}

func (r *reader) checkTimes(doc *document, w Workload) {
	if w.RunTime > 0 && w.RunTimeLimit > 0 && w.RunTime > w.RunTimeLimit {
		r.fail(doc.nodes[w.Name], "%q declares run_time %s above its run_time_limit %s", w.Name, w.RunTime, w.RunTimeLimit)
	}
}

// checkCycles reports each dependency cycle once. It searches depth-first from every workload.
func (r *reader) checkCycles(doc *document) {
	done := map[string]bool{}
	for _, w := range doc.text.Workloads {
		r.findCycle(doc, w.Name, nil, done)
	}
}

func (r *reader) findCycle(doc *document, name string, path []string, done map[string]bool) {
	for i, seen := range path {
		if seen == name {
			cycle := append(append([]string{}, path[i:]...), name)
			r.fail(doc.nodes[name], "dependency cycle: %s", strings.Join(cycle, " -> "))
			return
		}
	}
	if done[name] {
		return
	}
	done[name] = true
	w, ok := doc.text.Workload(name)
	if !ok {
		return
	}
	for _, next := range w.DependsOn {
		r.findCycle(doc, next, append(path, name), done)
	}
}
