// Package intake takes jobs in from callers at any instance: it stores a
// submission or a cancellation itself and tells the cell's owner, and asks the
// owner, or else the store, for the state of a job. It knows no wire.
package intake

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/access"
	"gentianstand/internal/admission"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/fault"
	"gentianstand/internal/job"
	"gentianstand/internal/packed"
	"gentianstand/internal/store"
)

const (
	// askTimeout bounds a question to the owner; the store is asked after it.
	askTimeout = 500 * time.Millisecond
	// tellTimeout bounds news to the owner. News that is lost reaches it through
	// the store within a second.
	tellTimeout = time.Second
	// answerMargin is kept of a caller's deadline for the way of the answer.
	answerMargin = 250 * time.Millisecond
	// outageRetryAfter tells callers when to come back in an outage, and
	// longOutageRetryAfter when it has lasted for longOutage. A caller has few attempts, and
	// must not use them up in one outage. The adapter adds jitter.
	outageRetryAfter     = time.Second
	longOutageRetryAfter = 2 * time.Second
	longOutage           = 2500 * time.Millisecond
	// ownerCalls is how many questions to the owner, and how many pieces of news, an
	// instance has under way at most: as many as it keeps connections.
	ownerCalls = 4
	// waitingFresh is how old a count of waiting jobs may be.
	waitingFresh = 1500 * time.Millisecond
)

// errOutage says that the store serves no instance that this one can reach.
var errOutage = fmt.Errorf("%w: it serves no instance now", store.ErrUnavailable)

// Intake serves callers' jobs.
type Intake struct {
	jobs    *celljobs.Jobs
	store   *store.Monitored
	leader  Ownership
	clients *cellpeer.Clients
	finder  *cellpeer.StoreFinder
	metrics *Metrics
	log     logrus.FieldLogger
	waiting waitingCounts
	// asking and telling bound what this instance has under way at the owner.
	asking, telling *bound
	book            admission.Controller
}

// New returns an intake.
func New(jobs *celljobs.Jobs, s *store.Monitored, l Ownership, f *cellpeer.StoreFinder, c *cellpeer.Clients, m *Metrics, log logrus.FieldLogger) *Intake {
	return &Intake{jobs: jobs, store: s, leader: l, clients: c, finder: f, metrics: m, log: log,
		asking: newBound(ownerCalls), telling: newBound(ownerCalls),
		waiting: waitingCounts{byQueue: map[string]waitingCount{}}}
}

// Submit accepts a job: it is stored when Submit returns nil. An error of kind
// PlatformUnavailable says that it was not accepted and never runs, one of kind
// OutcomeUnknown that the caller has to ask again.
func (i *Intake) Submit(ctx context.Context, r *job.Record) error {
	began := time.Now()
	if err := r.Validate(); err != nil {
		return fault.New(fault.BadRequest, "job %s: %w", r.ID, err)
	}
	if err := i.admit(ctx, r); err != nil {
		i.metrics.Refused.Inc()
		return err
	}
	r.Spec = packed.Pack(string(r.Spec))
	r.Submission = rand.Uint64()
	created, err := i.create(ctx, r)
	i.metrics.SubmitSeconds.UpdateDuration(began)
	if err != nil {
		i.metrics.SubmitErrors.Inc()
		i.log.WithFields(logrus.Fields{"job": r.ID, "queue": r.Queue, "took_ms": time.Since(began).Milliseconds()}).WithError(err).Info("job_not_accepted")
		if errors.Is(err, celljobs.ErrIDTaken) {
			return fault.New(fault.Conflict, "job %s: %w", r.ID, err)
		}
		return i.storeFault(err)
	}
	i.metrics.Submitted.Inc()
	i.log.WithFields(logrus.Fields{"job": r.ID, "queue": r.Queue, "workspace": r.Workspace, "took_ms": time.Since(began).Milliseconds()}).Info("job_accepted")
	if created {
		// A job that was there already was told to the owner of that time. Told
		// again, it would look new to the owner of now.
		i.tellSubmitted(r)
	}
	return nil
}

// create stores a record here, or through an instance that reaches the store.
// created says that this call, and nothing before it, stored the record.
func (i *Intake) create(ctx context.Context, r *job.Record) (created bool, err error) {
	// Nothing is sent to a store that is known to be lost: then the caller may be
	// told that the job will never run, and may try again. After an attempt without
	// an answer it could not.
	err = errOutage
	if i.store.Reachable() {
		created, err = i.jobs.Create(ctx, r)
	}
	if !isStoreFailure(err) {
		return created, err
	}
	peer, ok := i.finder.Find(ctx)
	if !ok {
		return false, err
	}
	created, peerErr := i.createThrough(ctx, peer, r)
	if peerErr != nil && errors.Is(err, store.ErrUnknown) {
		// Whatever the peer says, the attempt made here may have taken effect.
		return false, err
	}
	return created, peerErr
}

func isStoreFailure(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown)
}

func (i *Intake) createThrough(ctx context.Context, peer cellpeer.Instance, r *job.Record) (created bool, err error) {
	value, err := job.EncodeRecord(r)
	if err != nil {
		return false, err
	}
	reply, err := i.clients.To(peer.Address).StoreJob(ctx, &cellpb.StoreJobRequest{Record: value})
	if err != nil {
		return false, cellpeer.StoreErrorFrom(err)
	}
	return reply.Created, nil
}

// tellSubmitted tells the owner of a stored job without delaying the caller.
func (i *Intake) tellSubmitted(r *job.Record) {
	if i.leader.Submitted(r) {
		i.UpdateBacklogs(i.leader.Backlogs())
		return
	}
	value, err := job.EncodeRecord(r)
	if err != nil {
		i.log.WithField("job", r.ID).WithError(err).Error("job_not_encoded")
		return
	}
	go i.tell(r.ID, func(ctx context.Context, owner cellpb.Cells) (bool, error) {
		reply, err := owner.Submitted(ctx, &cellpb.SubmittedRequest{Record: value})
		if reply.GetOwner() {
			i.UpdateBacklogs(backlogsFrom(reply.Backlogs))
		}
		return reply.GetOwner(), err
	})
}

// tell brings news to the owner once. It may fail: the owner reads the store.
func (i *Intake) tell(id string, call func(context.Context, cellpb.Cells) (bool, error)) {
	address, self := i.leader.Owner()
	if address == "" || self {
		return
	}
	if !i.telling.enter() {
		i.log.WithFields(logrus.Fields{"job": id, "owner": address}).Debug("owner_not_told")
		return
	}
	defer i.telling.leave()
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	if owner, err := call(ctx, i.clients.To(address)); err != nil || !owner {
		i.log.WithFields(logrus.Fields{"job": id, "owner": address}).WithError(err).Debug("owner_not_told")
	}
}

// Cancel ends a job and reports whether the caller has it. It is stored when Cancel
// returns without an error.
func (i *Intake) Cancel(ctx context.Context, by access.Caller, id string) (bool, error) {
	status, _ := i.askOwner(ctx, id)
	if !by.MaySee(status.Workspace) {
		return false, nil
	}
	known, err := i.storeCancel(ctx, by, id, status.State != "")
	if err != nil {
		i.log.WithField("job", id).WithError(err).Info("job_not_cancelled")
		return false, i.storeFault(err)
	}
	i.log.WithFields(logrus.Fields{"job": id, "known": known}).Info("job_cancelled")
	if known && !i.leader.Cancelled(id) {
		i.tell(id, func(ctx context.Context, owner cellpb.Cells) (bool, error) {
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

// State returns a job's state; known is false only if the store has no such
// job of the caller. The owner is asked first, because it knows the newest state.
func (i *Intake) State(ctx context.Context, by access.Caller, id string) (state job.State, known bool, err error) {
	status, ok := i.askOwner(ctx, id)
	if !ok || status.State == "" {
		status, known, err = i.jobs.Status(ctx, id)
		if err != nil {
			return "", false, i.storeFault(err)
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

// askOwner asks the cell's owner for a job's status; its state is empty if the owner
// does not know the job, and ok is false if no owner answered.
func (i *Intake) askOwner(ctx context.Context, id string) (status job.Status, ok bool) {
	if status, ok := i.leader.Status(id); ok {
		return status, true
	}
	address, self := i.leader.Owner()
	if address == "" || self {
		return job.Status{}, false
	}
	if !i.asking.enter() {
		return job.Status{}, false
	}
	defer i.asking.leave()
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := i.clients.To(address).State(callCtx, &cellpb.StateRequest{Job: id})
	if err != nil {
		i.clients.Distrust(address)
		i.log.WithFields(logrus.Fields{"job": id, "owner": address}).WithError(err).Debug("owner_not_asked")
		return job.Status{}, false
	}
	return job.Status{State: job.State(reply.State), Workspace: reply.Workspace}, reply.Owner
}

// storeFault turns a failure of the store into the answer for the caller.
func (i *Intake) storeFault(err error) error {
	if errors.Is(err, store.ErrUnavailable) {
		after := outageRetryAfter
		if i.store.UnreachableFor(time.Now()) > longOutage {
			after = longOutageRetryAfter
		}
		return fault.New(fault.PlatformUnavailable, "the store: %w", err).WithRetryAfter(after)
	}
	return fault.New(fault.OutcomeUnknown, "the store did not answer in time: %w", err).WithRetryAfter(outageRetryAfter)
}

// ReplyDeadline returns when an answer must be ready for a caller that waits for
// limit from now.
func ReplyDeadline(now time.Time, limit time.Duration) time.Time {
	return now.Add(max(limit-answerMargin, limit/2))
}
