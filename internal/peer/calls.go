package peer

import (
	"context"
	"encoding/json"

	"gentianstand/internal/fault"
	"gentianstand/internal/fleet"
	"gentianstand/internal/live"
	"gentianstand/internal/peer/peerpb"
)

// AttestOutage implements ownership.Peers. The answer of a process that
// replaced the elector does not count.
func (h *Hub) AttestOutage(ctx context.Context, elector, subject live.Process) (bool, error) {
	client, err := h.clientOf(elector.Instance)
	if err != nil {
		return false, err
	}
	reply, err := client.Vouch(ctx, &peerpb.VouchRequest{Subject: processToMessage(subject)})
	if err != nil {
		return false, err
	}
	return reply.GetVouched() && processFromMessage(reply.GetFrom()) == elector, nil
}

// Fence implements ownership.Peers.
func (h *Hub) Fence(ctx context.Context, elector, subject live.Process) error {
	client, err := h.clientOf(elector.Instance)
	if err != nil {
		return err
	}
	reply, err := client.Fence(ctx, &peerpb.FenceRequest{Subject: processToMessage(subject)})
	if err != nil {
		return err
	}
	if processFromMessage(reply.GetFrom()) != elector {
		return fault.New(fault.NotOwner, "%s was replaced", elector)
	}
	return nil
}

// OfferShard implements ownership.Peers.
func (h *Hub) OfferShard(ctx context.Context, shard live.Shard) error {
	client, err := h.clientOf(shard.Owner.Instance)
	if err != nil {
		return err
	}
	row, err := json.Marshal(shard)
	if err != nil {
		return err
	}
	_, err = client.Give(ctx, &peerpb.GiveRequest{Row: row})
	return err
}

// clientOf returns a client of an instance. This instance is reached through
// its own peer address like any other.
func (h *Hub) clientOf(instance string) (peerpb.Peer, error) {
	if instance == h.id.Process.Instance {
		return h.clientFor(h.id.PeerAddress), nil
	}
	r, ok := h.Remote(instance)
	if !ok {
		return nil, fault.New(fault.UpstreamUnreachable, "no address of instance %q is known", instance)
	}
	return h.clientFor(r.PeerAddress), nil
}

// Assign implements planner.Owners.
func (h *Hub) Assign(ctx context.Context, instance string, order fleet.Order) error {
	client, err := h.clientOf(instance)
	if err != nil {
		return err
	}
	req := &peerpb.AssignRequest{PlannerEpoch: order.PlannerEpoch, Sequence: order.Sequence}
	for _, a := range order.Assignments {
		req.Workers = append(req.Workers, assignmentToMessage(a))
	}
	_, err = client.Assign(ctx, req)
	return fromTwirp(err)
}
