package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/twitchtv/twirp"

	"gentianstand/internal/config"
	"gentianstand/internal/fault"
	"gentianstand/internal/fleet"
	"gentianstand/internal/live"
	"gentianstand/internal/membership"
	"gentianstand/internal/owner"
	"gentianstand/internal/ownership"
	"gentianstand/internal/peer/peerpb"
	"gentianstand/internal/planner"
)

// Server answers the calls of other instances. It implements peerpb.Peer.
type Server struct {
	me      live.Process
	hub     *Hub
	elector *membership.Elector
	owner   *owner.Owner
	planner *planner.Planner
	config  *config.Current
	keeper  *ownership.Keeper
}

// NewServer returns the server of the process self.
func NewServer(self live.Process, hub *Hub, elector *membership.Elector, o *owner.Owner, p *planner.Planner, c *config.Current, k *ownership.Keeper) *Server {
	return &Server{me: self, hub: hub, elector: elector, owner: o, planner: p, config: c, keeper: k}
}

// Beat implements peerpb.Peer.
func (s *Server) Beat(_ context.Context, req *peerpb.BeatMessage) (*peerpb.BeatMessage, error) {
	s.hub.recordBeat(req, time.Now())
	return s.hub.message(), nil
}

// Vouch implements peerpb.Peer.
func (s *Server) Vouch(_ context.Context, req *peerpb.VouchRequest) (*peerpb.VouchReply, error) {
	attested := s.elector.AttestOutage(processFromMessage(req.GetSubject()), time.Now())
	return &peerpb.VouchReply{Vouched: attested, From: processToMessage(s.me)}, nil
}

// Fence implements peerpb.Peer.
func (s *Server) Fence(_ context.Context, req *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	s.elector.Fence(processFromMessage(req.GetSubject()), time.Now())
	return &peerpb.FenceReply{From: processToMessage(s.me)}, nil
}

// Give implements peerpb.Peer.
func (s *Server) Give(_ context.Context, req *peerpb.GiveRequest) (*peerpb.GiveReply, error) {
	var shard live.Shard
	if err := json.Unmarshal(req.GetRow(), &shard); err != nil {
		return nil, twirp.InvalidArgumentError("row", err.Error())
	}
	s.keeper.ShardOffered(shard)
	return &peerpb.GiveReply{}, nil
}

// Report implements peerpb.Peer.
func (s *Server) Report(ctx context.Context, req *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	reports := make([]fleet.Report, 0, len(req.GetWorkers()))
	for _, m := range req.GetWorkers() {
		reports = append(reports, reportFromMessage(m))
	}
	epoch, err := s.planner.Report(ctx, req.GetFrom().GetInstance(), req.GetFull(), reports)
	return &peerpb.ReportReply{PlannerEpoch: epoch}, toTwirp(err)
}

// Assign implements peerpb.Peer.
func (s *Server) Assign(_ context.Context, req *peerpb.AssignRequest) (*peerpb.AssignReply, error) {
	order := fleet.Order{PlannerEpoch: req.GetPlannerEpoch(), Sequence: req.GetSequence()}
	for _, m := range req.GetWorkers() {
		order.Assignments = append(order.Assignments, assignmentFromMessage(m))
	}
	err := s.owner.Assign(order)
	return &peerpb.AssignReply{}, toTwirp(err)
}

// Submit implements peerpb.Peer.
func (s *Server) Submit(ctx context.Context, req *peerpb.SubmitRequest) (*peerpb.SubmitReply, error) {
	id, err := s.planner.Submit(ctx, req.GetWorkload(), req.GetKey(), req.GetBy())
	return &peerpb.SubmitReply{Run: id}, toTwirp(err)
}

// Cancel implements peerpb.Peer.
func (s *Server) Cancel(ctx context.Context, req *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	n, err := s.planner.Cancel(ctx, req.GetRuns(), req.GetWorkload(), req.GetBy())
	return &peerpb.CancelReply{Cancelled: int32(n)}, toTwirp(err)
}

// Runs implements peerpb.Peer.
func (s *Server) Runs(ctx context.Context, req *peerpb.RunsRequest) (*peerpb.RunsReply, error) {
	var data any
	var err error
	if req.GetRun() == "" {
		data, err = s.planner.Summaries(ctx)
	} else {
		data, err = s.planner.Run(ctx, req.GetRun())
	}
	if err != nil {
		return nil, toTwirp(err)
	}
	body, err := json.Marshal(data)
	if err != nil {
		return nil, toTwirp(fault.From(err))
	}
	return &peerpb.RunsReply{Runs: body}, nil
}

// Config implements peerpb.Peer.
func (s *Server) Config(context.Context, *peerpb.ConfigRequest) (*peerpb.ConfigReply, error) {
	rec, _ := s.config.Get()
	if rec.Number == 0 {
		return &peerpb.ConfigReply{}, nil
	}
	body, err := json.Marshal(rec)
	if err != nil {
		return nil, toTwirp(fault.From(err))
	}
	return &peerpb.ConfigReply{Record: body}, nil
}
