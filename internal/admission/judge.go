package admission

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianstand/internal/fairness"
	"gentianstand/internal/job"
)

// uncountedJobs is how many own jobs of a workspace do not count for all instances. A single job
// at one of 40 instances would otherwise count as 40 jobs of a workspace that sent one.
const uncountedJobs = 2

// judge decides on a job by the view and the jobs admitted since. c.mu must be held.
func (c *Controller) judge(r *job.Record, now time.Time) Verdict {
	v := Verdict{Class: c.classOf(r, now), ViewAge: now.Sub(c.viewAt)}
	v.Wait, v.Added = c.expectedWait(r, v.Class, now)
	v.Limit = limitOf(r, v.Class)
	path := r.CriticalPath()
	v.Late = v.Wait+path > r.Objective()
	v.Refuse = v.Wait > v.Limit
	return v
}

// expectedWait returns how long a job of a class waits, and the part of it that was admitted since
// the view.
func (c *Controller) expectedWait(r *job.Record, class Class, now time.Time) (wait, added time.Duration) {
	age := now.Sub(c.viewAt)
	trusted := trust(age)
	if c.viewAt.IsZero() || trusted == 0 {
		return 0, 0
	}
	added = c.addedWait(r, class, age)
	wait = max(0, c.reportedWait(r, class)+added-age)
	return time.Duration(trusted * float64(wait)), added
}

func (c *Controller) reportedWait(r *job.Record, class Class) time.Duration {
	of := func(b Backlog) time.Duration { return b.ShareWait }
	if _, known := c.view.load(r.Service); !known {
		// An owner of an earlier version does not separate the work.
		of = func(b Backlog) time.Duration { return b.Wait }
	} else if class == BeyondShare {
		of = func(b Backlog) time.Duration { return max(b.Wait, b.OverWait) }
	}
	return c.view.longest(r.Service, r.Priority, of)
}

// addedWait returns how long the work takes that all instances are assumed to have admitted since
// the view, from what this one has. Without workspaces, the owner's backlog alone decides while
// the owner reports.
func (c *Controller) addedWait(r *job.Record, class Class, age time.Duration) time.Duration {
	load, known := c.view.load(r.Service)
	if !known || r.Workspace == "" && age <= backlogTTL {
		return 0
	}
	work, jobs := c.admitted.before(r.Service, r.Priority, class)
	return time.Duration(c.arrivals.scale(jobs, age) * float64(work.On(load.Capacity)))
}

// classOf returns the class of a new job, from what was left of its workspace's share at the view,
// what it has regained, and what all instances are assumed to have used since.
func (c *Controller) classOf(r *job.Record, now time.Time) Class {
	weight, total := c.weights(r.Workspace)
	load, known := c.view.load(r.Service)
	if r.Workspace == "" || weight <= 0 || !known {
		return NoShare
	}
	part := weight / max(weight, total)
	left, used := c.view.share(r.Workspace)
	if used {
		return c.classOfRegained(r, left, weight, part, load, now)
	}
	return c.classOfUnused(r, weight, part, load, now)
}

// classOfUnused returns the class of a job whose workspace's share was not used up at the view.
func (c *Controller) classOfUnused(r *job.Record, weight, part float64, load Load, now time.Time) Class {
	jobs, work := c.admitted.withinShareOf(r.Workspace)
	if jobs <= uncountedJobs {
		return WithinShare
	}
	age := now.Sub(c.viewAt)
	scale := c.arrivals.scale(jobs, age)
	usedJobs, usedWork := scale*float64(jobs-uncountedJobs), time.Duration(scale*float64(work.On(load.Capacity)))
	fullJobs := fairness.FullJobs(weight, fairness.ShareDepth) + weight*age.Seconds()
	fullWork := fairness.FullWork(part) + time.Duration(part*float64(age))
	if usedJobs+1 > fullJobs || usedWork >= fullWork {
		return BeyondShare
	}
	return WithinShare
}

// classOfRegained returns the class of a job whose workspace's share was used up at the view. All
// instances divide what it has regained since. As that is mostly less than a job for each, it is
// rounded by a number that differs by view and instance, so that they use all of it on average.
func (c *Controller) classOfRegained(r *job.Record, left Share, weight, part float64, load Load, now time.Time) Class {
	age := now.Sub(c.viewAt)
	left.Jobs = fairness.Refilled(left.Jobs, weight, fairness.ShareDepth, age)
	left.Work += time.Duration(part * float64(age))
	if left.Jobs < 1 || left.Work <= 0 {
		return BeyondShare
	}
	// The last job may take more room than is left.
	room := max(time.Microsecond, WorkOf(r).On(load.Capacity))
	jobs := min(left.Jobs, 1+float64(left.Work)/float64(room))
	own, _ := c.admitted.withinShareOf(r.Workspace)
	if float64(own+1) > math.Floor(jobs/c.arrivals.ratio()+c.rounding) {
		return BeyondShare
	}
	return WithinShare
}

// roundingOf returns a number from 0 to 1 that is evenly spread over instances and views.
func roundingOf(instance string, viewAt time.Time) float64 {
	return float64(xxhash.Sum64String(instance+strconv.FormatInt(viewAt.UnixNano(), 10))) / math.MaxUint64
}
