// Package intake accepts jobs from callers at any instance. It stores submissions and
// cancellations and notifies the owner of the cell. It gets the state of a job from the owner
// or, if that fails, from the store. It does not depend on the wire protocol.
package intake

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/access"
	"gentianstand/internal/admission"
	"gentianstand/internal/catalog"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/compressed"
	"gentianstand/internal/fault"
	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

const (
	// queryTimeout bounds a query to the owner; after it, the store is queried.
	queryTimeout = 500 * time.Millisecond
	// notifyTimeout bounds a notification to the owner. If a notification is lost, the owner
	// finds the change in the store within 1 second.
	notifyTimeout = time.Second
	// replyMargin is the part of a caller's deadline that is reserved for sending the response.
	replyMargin = 250 * time.Millisecond
	// outageRetryAfter is the retry delay for callers during an outage, and
	// longOutageRetryAfter the delay once the outage has lasted for longOutage. A caller has
	// few attempts and must not use them all up in one outage. The adapter adds jitter.
	outageRetryAfter     = time.Second
	longOutageRetryAfter = 2 * time.Second
	longOutage           = 2500 * time.Millisecond
	// maxOwnerCalls is how many queries, and how many notifications, an instance may have
	// outstanding at the owner. It equals the number of connections that an instance keeps.
	maxOwnerCalls = 4
	// waitingCountTTL is how long a cached count of waiting jobs may be used.
	waitingCountTTL = 1500 * time.Millisecond
)

// errOutage means that neither this instance nor any instance that it can reach has access to
// the store.
var errOutage = fmt.Errorf("%w: it serves no instance now", store.ErrUnavailable)

// Intake accepts and cancels jobs for callers, and returns their state.
type Intake struct {
	jobs      *celljobs.Jobs
	store     *store.Monitored
	ownership Ownership
	clients   *cellpeer.Clients
	finder    *cellpeer.StoreFinder
	metrics   *Metrics
	log       logrus.FieldLogger
	waiting   waitingCounts
	// queries and notifications limit the concurrent calls of this instance to the owner.
	queries, notifications *semaphore
	admission              *admission.Controller
	refreshing             atomic.Bool
}

// New returns an Intake.
func New(jobs *celljobs.Jobs, s *store.Monitored, o Ownership, f *cellpeer.StoreFinder, c *cellpeer.Clients, m *Metrics, log logrus.FieldLogger) *Intake {
	return &Intake{jobs: jobs, store: s, ownership: o, clients: c, finder: f, metrics: m, log: log,
		queries: newSemaphore(maxOwnerCalls), notifications: newSemaphore(maxOwnerCalls), admission: &admission.Controller{},
		waiting: waitingCounts{byQueue: map[string]waitingCount{}}}
}

// WithWorkspaces makes an intake distinguish workspaces by their weights in the configuration in
// force, and decide on new jobs while the owner of the cell is away. It must be called before the
// intake is used.
func (i *Intake) WithWorkspaces(current func() *catalog.Catalog, instance string) *Intake {
	i.admission = admission.New(func(workspace string) (weight, total float64) {
		c := current()
		if c == nil {
			return 0, 0
		}
		return c.Weight(workspace), c.TotalWeight()
	}, instance)
	return i
}

// WithStartLimit limits how many bytes of jobs an intake accepts before it knows what the owner of the cell
// holds. It must be called after WithWorkspaces and before the intake is used.
func (i *Intake) WithStartLimit(bytes int64) *Intake {
	i.admission.LimitMemory(bytes)
	return i
}

// Submit accepts a job: it is stored when Submit returns nil. An error of kind
// PlatformUnavailable means that the job was not accepted and never runs. An error of kind
// OutcomeUnknown means that it may have been accepted; the caller has to repeat the request to
// find out.
func (i *Intake) Submit(ctx context.Context, r *job.Record) error {
	began := time.Now()
	if err := r.ValidateSubmission(); err != nil {
		return fault.New(fault.BadRequest, "job %s: %w", r.ID, err)
	}
	verdict, err := i.admit(ctx, r)
	if err != nil {
		return err
	}
	stored := false
	defer func() { i.admission.Settle(verdict, stored, time.Now()) }()
	r.Spec = compressed.Pack(string(r.Spec))
	r.Submission = rand.Uint64()
	if err := celljobs.CheckSize(r); err != nil {
		return fault.New(fault.BadRequest, "job %s: %w", r.ID, err)
	}
	created, err := i.create(ctx, r)
	stored = !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, celljobs.ErrIDTaken)
	i.metrics.SubmitSeconds.UpdateDuration(began)
	if err != nil {
		i.metrics.SubmitErrors.Inc()
		i.log.WithFields(logrus.Fields{"job": r.ID, "queue": r.Queue, "took_ms": time.Since(began).Milliseconds()}).WithError(err).Info("job_not_accepted")
		if errors.Is(err, celljobs.ErrIDTaken) {
			return fault.New(fault.Conflict, "job %s: %w", r.ID, err)
		}
		return i.faultFromStore(err)
	}
	if created {
		i.admission.Admitted(r, verdict, time.Now())
	}
	i.metrics.Submitted.Inc()
	i.log.WithFields(logrus.Fields{"job": r.ID, "queue": r.Queue, "workspace": r.Workspace, "took_ms": time.Since(began).Milliseconds()}).Info("job_accepted")
	if created {
		// For a job that already existed, the owner at that time was notified. A second
		// notification would make it look new to the current owner.
		i.notifySubmitted(r)
	}
	return nil
}

// notifySubmitted notifies the owner of a stored job without delaying the caller.
func (i *Intake) notifySubmitted(r *job.Record) {
	if i.ownership.Submitted(r) {
		i.takeOwnView()
		return
	}
	value, err := job.EncodeRecord(r)
	if err != nil {
		i.log.WithField("job", r.ID).WithError(err).Error("job_not_encoded")
		return
	}
	go i.notifyOwner(r.ID, func(ctx context.Context, owner cellpb.Cells) (bool, error) {
		reply, err := owner.Submitted(ctx, &cellpb.SubmittedRequest{Record: value})
		if reply.GetOwner() {
			i.UpdateView(cellpeer.ViewFrom(reply.View, reply.Backlogs))
		}
		return reply.GetOwner(), err
	})
}

// notifyOwner calls the owner once. It may fail, because the owner also reads the store.
func (i *Intake) notifyOwner(id string, call func(context.Context, cellpb.Cells) (bool, error)) {
	address, self := i.ownership.Owner()
	if address == "" || self {
		return
	}
	if !i.notifications.tryAcquire() {
		i.log.WithFields(logrus.Fields{"job": id, "owner": address}).Debug("owner_not_told")
		return
	}
	defer i.notifications.release()
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if owner, err := call(ctx, i.clients.To(address)); err != nil || !owner {
		i.log.WithFields(logrus.Fields{"job": id, "owner": address}).WithError(err).Debug("owner_not_told")
	}
}

// Cancel cancels a job and reports whether the caller has such a job. The cancellation is
// stored when Cancel returns without an error.
func (i *Intake) Cancel(ctx context.Context, by access.Caller, id string) (bool, error) {
	status, _ := i.queryOwner(ctx, id)
	if !by.MaySee(status.Workspace) {
		return false, nil
	}
	known, err := i.storeCancel(ctx, by, id, status.State != "")
	if err != nil {
		i.log.WithField("job", id).WithError(err).Info("job_not_cancelled")
		return false, i.faultFromStore(err)
	}
	i.log.WithFields(logrus.Fields{"job": id, "known": known}).Info("job_cancelled")
	if known && !i.ownership.Cancelled(id) {
		i.notifyOwner(id, func(ctx context.Context, owner cellpb.Cells) (bool, error) {
			reply, err := owner.Cancelled(ctx, &cellpb.CancelledRequest{Job: id})
			return reply.GetOwner(), err
		})
	}
	return known, nil
}

func (i *Intake) storeCancel(ctx context.Context, by access.Caller, id string, known bool) (bool, error) {
	if !i.store.Reachable() {
		if peer, ok := i.finder.Find(ctx); ok {
			reply, err := i.clients.To(peer.Address).StoreCancel(ctx, &cellpb.StoreCancelRequest{Job: id, Workspace: by.Workspace, Anyone: by.Anonymous})
			if err != nil {
				return false, cellpeer.StoreErrorFrom(err)
			}
			return reply.Known, nil
		}
		return false, errOutage
	}
	return i.jobs.Cancel(ctx, by, id, known)
}

// State returns the state of a job. known is false only if the store has no such job of the
// caller. The owner is queried first, because it has the newest state.
func (i *Intake) State(ctx context.Context, by access.Caller, id string) (state job.State, known bool, err error) {
	status, ok := i.queryOwner(ctx, id)
	if !ok || status.State == "" {
		status, known, err = i.jobs.Status(ctx, id)
		if err != nil {
			return "", false, i.faultFromStore(err)
		}
		if !known {
			return "", false, nil
		}
	}
	if !by.MaySee(status.Workspace) {
		return "", false, nil
	}
	return status.State, true, nil
}

// queryOwner asks the owner of the cell for the status of a job. The status has an empty state
// if the owner does not know the job; ok is false if no owner answered.
func (i *Intake) queryOwner(ctx context.Context, id string) (status job.Status, ok bool) {
	if status, ok := i.ownership.Status(id); ok {
		return status, true
	}
	address, self := i.ownership.Owner()
	if address == "" || self {
		return job.Status{}, false
	}
	if !i.queries.tryAcquire() {
		return job.Status{}, false
	}
	defer i.queries.release()
	callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, err := i.clients.To(address).State(callCtx, &cellpb.StateRequest{Job: id})
	if err != nil {
		i.clients.CloseIdle(address)
		i.log.WithFields(logrus.Fields{"job": id, "owner": address}).WithError(err).Debug("owner_not_asked")
		return job.Status{}, false
	}
	return job.Status{State: job.State(reply.State), Workspace: reply.Workspace}, reply.Owner
}

// faultFromStore converts a store failure into the error for the caller.
func (i *Intake) faultFromStore(err error) error {
	if errors.Is(err, store.ErrUnavailable) {
		after := outageRetryAfter
		if i.store.UnreachableFor(time.Now()) > longOutage {
			after = longOutageRetryAfter
		}
		return fault.New(fault.PlatformUnavailable, "the store: %w", err).WithRetryAfter(after)
	}
	return fault.New(fault.OutcomeUnknown, "the store did not answer in time: %w", err).WithRetryAfter(outageRetryAfter)
}

// ReplyDeadline returns when a response must be ready for a caller that waits for limit from
// now.
func ReplyDeadline(now time.Time, limit time.Duration) time.Time {
	return now.Add(max(limit-replyMargin, limit/2))
}
