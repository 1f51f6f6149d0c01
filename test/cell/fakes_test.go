package cell

import (
	"context"
	"fmt"
	"time"

	"gentianstand/internal/fault"
	"gentianstand/internal/fleet"
	"gentianstand/internal/live"
	"gentianstand/internal/platform"
	standplatform "gentianstand/internal/standin/platform"
	standworker "gentianstand/internal/standin/worker"
	"gentianstand/internal/worker"
)

// callTimeout is the time after which a caller stops waiting for an answer.
const callTimeout = time.Second

// table is the platform's table over one member's link.
type table struct {
	link   *link
	faulty *standplatform.FaultyStore
}

func (t table) Get(ctx context.Context, key string) (platform.Row, error) {
	return callTable(ctx, t, func(ctx context.Context) (platform.Row, error) { return t.faulty.Get(ctx, key) })
}

func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	return callTable(ctx, t, func(ctx context.Context) ([]platform.Row, error) { return t.faulty.Scan(ctx, prefix, after, limit) })
}

func (t table) Commit(ctx context.Context, tx platform.Tx) error {
	_, err := callTable(ctx, t, func(ctx context.Context) (struct{}, error) { return struct{}{}, t.faulty.Commit(ctx, tx) })
	return err
}

func (t table) PutObject(ctx context.Context, key string, data []byte) error {
	return t.faulty.PutObject(ctx, key, data)
}

func (t table) GetObject(ctx context.Context, key string) ([]byte, error) {
	return t.faulty.GetObject(ctx, key)
}

func callTable[T any](ctx context.Context, t table, f func(context.Context) (T, error)) (T, error) {
	v, err := withTimeout(ctx, callTimeout, func() (T, error) {
		var none T
		if err := t.link.deliver(ctx, "table"); err != nil {
			return none, platform.ErrUnavailable
		}
		return f(context.Background())
	})
	if err == errUnreachable {
		err = platform.ErrUnavailable
	}
	return v, err
}

// agent is a worker over one member's link.
type agent struct {
	link   *link
	id     string
	worker *standworker.Worker
}

func (a agent) Sync(ctx context.Context, req worker.SyncRequest) (worker.SyncReply, error) {
	return callWorker(ctx, a, func() (worker.SyncReply, error) { return a.worker.Sync(ctx, req) })
}

func (a agent) QueryRequests(ctx context.Context, ids []string) ([]worker.RequestState, error) {
	return callWorker(ctx, a, func() ([]worker.RequestState, error) { return a.worker.QueryRequests(ctx, ids) })
}

func callWorker[T any](ctx context.Context, a agent, call func() (T, error)) (T, error) {
	v, err := withTimeout(ctx, callTimeout, func() (T, error) {
		var none T
		if err := a.link.deliver(ctx, a.id); err != nil {
			return none, err
		}
		return call()
	})
	if err == errUnreachable {
		err = worker.ErrUnreachable
	}
	return v, err
}

// peers are the other members over one member's link. It implements ownership.Peers, planner.Owners
// and owner.Planner.
type peers struct {
	cell *cell
	me   *member
}

func (p peers) lookUp(instance string) (*member, error) {
	m := p.cell.member(instance)
	if m == nil {
		return nil, errUnreachable
	}
	return m, nil
}

func callPeer[T any](ctx context.Context, p peers, instance string, f func(*member) (T, error)) (T, error) {
	return withTimeout(ctx, callTimeout, func() (T, error) {
		var none T
		if err := p.me.link.deliver(ctx, instance); err != nil {
			return none, err
		}
		m, err := p.lookUp(instance)
		if err != nil {
			return none, err
		}
		if err := m.link.deliver(ctx, "in"); err != nil {
			return none, err
		}
		return f(m)
	})
}

func (p peers) AttestOutage(ctx context.Context, elector, subject live.Process) (bool, error) {
	return callPeer(ctx, p, elector.Instance, func(m *member) (bool, error) {
		return m.process == elector && m.elector.AttestOutage(subject, time.Now()), nil
	})
}

func (p peers) Fence(ctx context.Context, elector, subject live.Process) error {
	_, err := callPeer(ctx, p, elector.Instance, func(m *member) (struct{}, error) {
		if m.process != elector {
			return struct{}{}, errUnreachable
		}
		m.elector.Fence(subject, time.Now())
		return struct{}{}, nil
	})
	return err
}

func (p peers) OfferShard(ctx context.Context, shard live.Shard) error {
	_, err := callPeer(ctx, p, shard.Owner.Instance, func(m *member) (struct{}, error) {
		m.keeper.ShardOffered(shard)
		return struct{}{}, nil
	})
	return err
}

func (p peers) Assign(ctx context.Context, instance string, order fleet.Order) error {
	_, err := callPeer(ctx, p, instance, func(m *member) (struct{}, error) {
		return struct{}{}, m.owner.Assign(order)
	})
	return err
}

func (p peers) Report(ctx context.Context, full bool, reports []fleet.Report) (uint64, error) {
	planner := p.me.keeper.View().Shards[live.PlannerShard].Owner.Instance
	if planner == "" {
		return 0, fault.New(fault.NotOwner, "the planner is unknown")
	}
	return callPeer(ctx, p, planner, func(m *member) (uint64, error) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		return m.planner.Report(ctx, p.me.process.Instance, full, reports)
	})
}

func rackOf(n int) string { return fmt.Sprintf("rack-%d", n/2) }
