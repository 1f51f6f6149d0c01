package cell

import (
	"time"

	"gentianstand/internal/admission"
	"gentianstand/internal/resource"
)

// remainingWork is the work of accepted jobs that is not done.
type remainingWork struct {
	// within and over are the work within and beyond the shares of workspaces. queued is the part
	// of both that has not started.
	within, over, queued admission.Work
}

// add adds tasks that wait for, and run for, the given times.
func (r *remainingWork) add(overShare bool, need resource.Amount, waiting, running time.Duration) {
	r.queued = r.queued.Add(need, waiting)
	if overShare {
		r.over = r.over.Add(need, waiting+running)
		return
	}
	r.within = r.within.Add(need, waiting+running)
}

func (r remainingWork) plus(o remainingWork) remainingWork {
	return remainingWork{r.within.Plus(o.within), r.over.Plus(o.over), r.queued.Plus(o.queued)}
}
