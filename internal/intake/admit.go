package intake

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/admission"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/fault"
	"gentianstand/internal/job"
)

// admit returns an error of kind Overloaded if the job could not finish in time for its result
// to be useful. A refusal means that the job never runs, so the store is queried first for an
// earlier attempt of the same job. If the store does not answer, the job is admitted and the
// submission handles the store failure.
func (i *Intake) admit(ctx context.Context, r *job.Record) error {
	retryAfter, refuse := i.admission.ShouldRefuse(r, time.Now())
	if !refuse {
		return nil
	}
	if _, known, err := i.jobs.Status(ctx, r.ID); err != nil || known {
		return nil
	}
	i.log.WithFields(logrus.Fields{"job": r.ID, "queue": r.Queue, "retry_after_ms": retryAfter.Milliseconds()}).Info("job_refused")
	return fault.New(fault.Overloaded, "queue %s: the work before this job takes longer than its end is of use", r.Queue).WithRetryAfter(retryAfter)
}

// UpdateBacklogs records the owner's newest backlogs.
func (i *Intake) UpdateBacklogs(backlogs []admission.Backlog) {
	i.admission.Update(backlogs, time.Now())
}

func backlogsFrom(list []*cellpb.Backlog) []admission.Backlog {
	backlogs := make([]admission.Backlog, len(list))
	for i, b := range list {
		backlogs[i] = admission.Backlog{Service: b.Service, Priority: int(b.Priority), Wait: time.Duration(b.WaitMillis) * time.Millisecond}
	}
	return backlogs
}
