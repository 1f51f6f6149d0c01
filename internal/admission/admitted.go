package admission

import (
	"slices"
	"time"
)

// admittedJob is a job that this instance admitted and that its view does not contain yet.
type admittedJob struct {
	at        time.Time
	service   string
	workspace string
	priority  int
	class     Class
	work      Work
}

// admittedJobs are the jobs since the view, in order of time.
type admittedJobs []admittedJob

// since removes the jobs before a time.
func (a admittedJobs) since(at time.Time) admittedJobs {
	return slices.DeleteFunc(a, func(j admittedJob) bool { return j.at.Before(at) })
}

// before returns the work that runs before new work of a service, priority and class, and the
// number of its jobs.
func (a admittedJobs) before(service string, priority int, class Class) (sum Work, jobs int) {
	for i := range a {
		j := &a[i]
		if j.service != service || j.priority > priority || class != BeyondShare && j.class == BeyondShare {
			continue
		}
		sum = sum.Plus(j.work)
		jobs++
	}
	return sum, jobs
}

// withinShareOf returns the number and work of the jobs that a workspace's share was used for.
func (a admittedJobs) withinShareOf(workspace string) (jobs int, sum Work) {
	for i := range a {
		if a[i].workspace == workspace && a[i].class == WithinShare {
			jobs++
			sum = sum.Plus(a[i].work)
		}
	}
	return jobs, sum
}
