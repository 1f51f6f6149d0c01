package intake

import (
	"context"
	"errors"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

// create stores a record directly, or through another instance that can reach the store.
// created reports whether this call, and no earlier attempt, stored the record.
func (i *Intake) create(ctx context.Context, r *job.Record) (created bool, err error) {
	// No write is sent to a store that is known to be unreachable. The caller can then be
	// informed that the job never runs, and may retry. After a write without an answer this
	// would not be known.
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
	created, peerErr := i.createViaPeer(ctx, peer, r)
	if peerErr != nil && errors.Is(err, store.ErrUnknown) {
		// Whatever the peer's result, the write from this instance may have taken effect.
		return false, err
	}
	return created, peerErr
}

func isStoreFailure(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown)
}

func (i *Intake) createViaPeer(ctx context.Context, peer cellpeer.Instance, r *job.Record) (created bool, err error) {
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
