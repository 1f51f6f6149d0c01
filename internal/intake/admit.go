package intake

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/admission"
	"gentianstand/internal/fault"
	"gentianstand/internal/job"
)

// staleView is the age of a view from which the owner is asked for a newer one when a job is
// refused. An instance that refuses every job gets no view with the answers to notifications.
const staleView = time.Second

// admit returns an error of kind Overloaded if the job could not finish in time for its result
// to be useful. A refusal means that the job never runs, so the store is queried first for an
// earlier attempt of the same job. If the store does not answer, the job is admitted and the
// submission handles the store failure.
func (i *Intake) admit(ctx context.Context, r *job.Record) (admission.Verdict, error) {
	i.takeOwnView()
	v := i.admission.Judge(r, time.Now())
	if !v.Refuse {
		if v.Late {
			i.metrics.AdmittedLate.Inc()
		}
		return v, nil
	}
	i.refreshView(r.Queue, v.ViewAge)
	if _, known, err := i.jobs.Status(ctx, r.ID); err != nil || known {
		return v, nil
	}
	return v, i.refuse(r, v)
}

// refuse records and logs a refusal, and returns the error for the caller.
func (i *Intake) refuse(r *job.Record, v admission.Verdict) error {
	retryAfter := i.admission.Refused(r, v, time.Now())
	i.metrics.Refused.Inc()
	if v.Class == admission.BeyondShare {
		i.metrics.RefusedBeyondShare.Inc()
	}
	if v.NoMemory {
		i.metrics.RefusedForMemory.Inc()
	}
	if v.ViewAge > staleView {
		i.metrics.StaleDecisions.Inc()
	}
	i.log.WithFields(logrus.Fields{"job": r.ID, "queue": r.Queue, "workspace": r.Workspace, "share": v.Class, "backlog_ms": v.Wait.Milliseconds(),
		"limit_ms": v.Limit.Milliseconds(), "added_ms": v.Added.Milliseconds(), "view_age_ms": v.ViewAge.Milliseconds(),
		"no_memory": v.NoMemory, "retry_after_ms": retryAfter.Milliseconds()}).Info("job_refused")
	if v.NoMemory {
		return fault.New(fault.Overloaded, "the scheduler holds as much accepted work as its memory allows").WithRetryAfter(retryAfter)
	}
	if v.Class == admission.BeyondShare {
		return fault.New(fault.Overloaded, "queue %s: workspace %s has used up its share, and the work before this job takes longer than its end is of use", r.Queue, r.Workspace).WithRetryAfter(retryAfter)
	}
	return fault.New(fault.Overloaded, "queue %s: the work before this job takes longer than its end is of use", r.Queue).WithRetryAfter(retryAfter)
}

// UpdateView records the owner's newest view.
func (i *Intake) UpdateView(v admission.View) { i.admission.Update(v, time.Now()) }

// takeOwnView records the view of this instance if it is the owner.
func (i *Intake) takeOwnView() {
	if v, ok := i.ownership.AdmissionView(); ok {
		i.UpdateView(v)
	}
}

// refreshView asks the owner for its view if the last one is stale, without delaying the caller.
// The answer about a queue contains it.
func (i *Intake) refreshView(queue string, age time.Duration) {
	if age < staleView || !i.refreshing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer i.refreshing.Store(false)
		if _, err := i.Waiting(context.Background(), queue); err != nil {
			i.log.WithField("queue", queue).WithError(err).Debug("view_not_refreshed")
		}
	}()
}
