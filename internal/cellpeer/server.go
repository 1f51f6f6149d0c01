package cellpeer

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"gentianstand/internal/access"
	"gentianstand/internal/advice"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/job"
)

// Server serves the calls of other instances.
type Server struct {
	owner   CellOwner
	jobs    *celljobs.Jobs
	adviser advice.Adviser
	catalog Catalogs
	log     logrus.FieldLogger
}

// NewServer returns the HTTP handler for calls of other instances.
func NewServer(o CellOwner, jobs *celljobs.Jobs, a advice.Adviser, c Catalogs, log logrus.FieldLogger) http.Handler {
	return cellpb.NewCellsServer(&Server{owner: o, jobs: jobs, adviser: a, catalog: c, log: log})
}

// Ping implements cellpb.Cells.
func (s *Server) Ping(_ context.Context, r *cellpb.PingRequest) (*cellpb.PingReply, error) {
	return s.owner.Ping(r), nil
}

// TakeOver implements cellpb.Cells.
func (s *Server) TakeOver(ctx context.Context, r *cellpb.TakeOverRequest) (*cellpb.TakeOverReply, error) {
	return &cellpb.TakeOverReply{Taken: s.owner.TakeOver(ctx, r.From, r.Term)}, nil
}

// Submitted implements cellpb.Cells.
func (s *Server) Submitted(_ context.Context, r *cellpb.SubmittedRequest) (*cellpb.SubmittedReply, error) {
	record, err := job.DecodeRecord(r.Record)
	if err != nil {
		return nil, twirp.InvalidArgumentError("record", err.Error())
	}
	reply := &cellpb.SubmittedReply{Owner: s.owner.Submitted(record)}
	if view, ok := s.owner.AdmissionView(); ok {
		reply.View = viewMessage(&view)
		reply.Backlogs = reply.View.Backlogs
	}
	return reply, nil
}

// Cancelled implements cellpb.Cells.
func (s *Server) Cancelled(_ context.Context, r *cellpb.CancelledRequest) (*cellpb.CancelledReply, error) {
	return &cellpb.CancelledReply{Owner: s.owner.Cancelled(r.Job)}, nil
}

// State implements cellpb.Cells.
func (s *Server) State(_ context.Context, r *cellpb.StateRequest) (*cellpb.StateReply, error) {
	status, owner := s.owner.Status(r.Job)
	return &cellpb.StateReply{Owner: owner, State: string(status.State), Workspace: status.Workspace}, nil
}

// Waiting implements cellpb.Cells.
func (s *Server) Waiting(_ context.Context, r *cellpb.WaitingRequest) (*cellpb.WaitingReply, error) {
	jobs, owner := s.owner.Waiting(r.Queue)
	reply := &cellpb.WaitingReply{Owner: owner, Jobs: int64(jobs)}
	if view, ok := s.owner.AdmissionView(); ok {
		reply.View = viewMessage(&view)
	}
	return reply, nil
}

// Advise implements cellpb.Cells.
func (s *Server) Advise(ctx context.Context, r *cellpb.AdviseRequest) (*cellpb.AdviseReply, error) {
	tickets, err := s.adviser.Ask(ctx, r.Stage, r.Workers)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	reply := &cellpb.AdviseReply{}
	for _, t := range tickets {
		reply.Tickets = append(reply.Tickets, &cellpb.AdviceTicket{Worker: t.Worker, Text: t.Text})
	}
	return reply, nil
}

// StoreJob implements cellpb.Cells.
func (s *Server) StoreJob(ctx context.Context, r *cellpb.StoreJobRequest) (*cellpb.StoreJobReply, error) {
	record, err := job.DecodeRecord(r.Record)
	if err != nil {
		return nil, twirp.InvalidArgumentError("record", err.Error())
	}
	if err := s.probe(ctx, record.ID); err != nil {
		return nil, err
	}
	created, err := s.jobs.Create(ctx, record)
	if err != nil {
		return nil, storeError(err)
	}
	return &cellpb.StoreJobReply{Created: created}, nil
}

// probe verifies that the store answers before a write on behalf of another instance. At
// the start of an outage this instance may not have detected yet that the store is lost. A
// write would then have an unknown outcome, whereas after a failed probe the caller knows
// that nothing was done and can retry.
func (s *Server) probe(ctx context.Context, id string) error {
	if err := s.jobs.Probe(ctx, id); err != nil {
		s.log.WithField("job", id).WithError(err).Info("not_stored_for_another")
		return twirp.NewError(twirp.Unavailable, err.Error())
	}
	return nil
}

// StoreCancel implements cellpb.Cells.
func (s *Server) StoreCancel(ctx context.Context, r *cellpb.StoreCancelRequest) (*cellpb.StoreCancelReply, error) {
	if err := s.probe(ctx, r.Job); err != nil {
		return nil, err
	}
	known, err := s.jobs.Cancel(ctx, access.Caller{Workspace: r.Workspace, Anonymous: r.Anyone}, r.Job, false)
	if err != nil {
		return nil, storeError(err)
	}
	return &cellpb.StoreCancelReply{Known: known}, nil
}

// NewestCatalog implements cellpb.Cells.
func (s *Server) NewestCatalog(ctx context.Context, r *cellpb.NewestCatalogRequest) (*cellpb.NewestCatalogReply, error) {
	newest, age, err := s.catalog.Newest(ctx)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	reply := &cellpb.NewestCatalogReply{AgeMicros: age.Microseconds() + 1}
	if newest.Version > r.Version {
		if reply.Catalog, err = newest.Encode(); err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
	}
	return reply, nil
}
