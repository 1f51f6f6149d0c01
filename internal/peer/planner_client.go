package peer

import (
	"context"
	"encoding/json"
	"time"

	"gentianstand/internal/fault"
	"gentianstand/internal/fleet"
	"gentianstand/internal/live"
	"gentianstand/internal/peer/peerpb"
	"gentianstand/internal/planner"
	"gentianstand/internal/run"
)

// plannerTimeout bounds a call that waits for a group commit.
const plannerTimeout = 5 * time.Second

// PlannerClient calls the planner on whichever instance it runs. It implements
// owner.Planner.
type PlannerClient struct {
	hub  *Hub
	view func() live.View
}

// NewPlannerClient returns a client that finds the planner through the table
// and the heartbeats of the instances.
func NewPlannerClient(hub *Hub, view func() live.View) *PlannerClient {
	return &PlannerClient{hub: hub, view: view}
}

// Instance returns the instance that runs the planner, or "" if it is not
// known.
func (p *PlannerClient) Instance() string {
	row := p.view().Shards[live.PlannerShard]
	if holder, epoch := p.hub.Holder(live.PlannerShard); epoch > row.Epoch {
		return holder
	}
	return row.Owner.Instance
}

func (p *PlannerClient) client() (peerpb.Peer, error) {
	instance := p.Instance()
	if instance == "" {
		return nil, fault.New(fault.PlatformUnavailable, "no instance is the planner at present").WithRetryAfter(time.Second)
	}
	return p.hub.clientOf(instance)
}

// Report implements owner.Planner.
func (p *PlannerClient) Report(ctx context.Context, full bool, reports []fleet.Report) (uint64, error) {
	client, err := p.client()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &peerpb.ReportRequest{From: processToMessage(p.hub.id.Process), Full: full}
	for _, r := range reports {
		req.Workers = append(req.Workers, reportToMessage(r))
	}
	reply, err := client.Report(ctx, req)
	return reply.GetPlannerEpoch(), fromTwirp(err)
}

// Submit starts a run of a workload and returns its ID once the run has been
// written.
func (p *PlannerClient) Submit(ctx context.Context, workload, key, by string) (string, error) {
	client, err := p.client()
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, plannerTimeout)
	defer cancel()
	reply, err := client.Submit(ctx, &peerpb.SubmitRequest{Workload: workload, Key: key, By: by})
	return reply.GetRun(), fromTwirp(err)
}

// Cancel cancels runs by ID or all runs of a workload.
func (p *PlannerClient) Cancel(ctx context.Context, ids []string, workload, by string) (int, error) {
	client, err := p.client()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, plannerTimeout)
	defer cancel()
	reply, err := client.Cancel(ctx, &peerpb.CancelRequest{Runs: ids, Workload: workload, By: by})
	return int(reply.GetCancelled()), fromTwirp(err)
}

// Run returns one run with its tasks.
func (p *PlannerClient) Run(ctx context.Context, id string) (run.Run, error) {
	var r run.Run
	err := p.read(ctx, id, &r)
	return r, err
}

// Summaries returns all runs without their tasks.
func (p *PlannerClient) Summaries(ctx context.Context) ([]planner.Summary, error) {
	var list []planner.Summary
	err := p.read(ctx, "", &list)
	return list, err
}

func (p *PlannerClient) read(ctx context.Context, id string, into any) error {
	client, err := p.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, plannerTimeout)
	defer cancel()
	reply, err := client.Runs(ctx, &peerpb.RunsRequest{Run: id})
	if err != nil {
		return fromTwirp(err)
	}
	return json.Unmarshal(reply.GetRuns(), into)
}
