package admission

import (
	"time"

	"gentianstand/internal/jobmemory"
)

// View is the state of the cell by which instances decide on new jobs, as the owner reports it.
type View struct {
	// Term is the term of the owner, and Arrivals counts the jobs that it has learned of in its
	// term.
	Term     uint64
	Arrivals uint64
	Backlogs []Backlog
	Loads    []Load
	// Shares are those of workspaces that have used up theirs. The others have not.
	Shares []Share
	// Jobs is the memory of the jobs that have not ended.
	Jobs jobmemory.Usage
	// Age is how long before the report the view was computed.
	Age time.Duration
}

// longest returns the longest of the waits that a job of a service and priority has by its
// backlogs.
func (v *View) longest(service string, priority int, of func(Backlog) time.Duration) time.Duration {
	wait := time.Duration(0)
	for _, b := range v.Backlogs {
		if b.Service == service && b.Priority <= priority {
			wait = max(wait, of(b))
		}
	}
	return wait
}

// load returns the load of a service; ok is false if it is not known.
func (v *View) load(service string) (load Load, ok bool) {
	for _, l := range v.Loads {
		if l.Service == service {
			return l, true
		}
	}
	return Load{}, false
}

// share returns what is left of a workspace's share; ok is false if it is not used up.
func (v *View) share(workspace string) (share Share, ok bool) {
	for _, s := range v.Shares {
		if s.Workspace == workspace {
			return s, true
		}
	}
	return Share{}, false
}
