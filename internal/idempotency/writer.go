package idempotency

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"gentianstand/internal/fault"
	"gentianstand/internal/platform"
)

// Run writes keys until ctx ends. Starts that arrive during a write are written
// together in the next one, so a burst takes few writes.
func (r *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(flushPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case first := <-r.starts:
			r.writeStarts(ctx, r.gather(first))
		case <-ticker.C:
			r.loadShards(ctx)
			r.flush(ctx)
		}
	}
}

func (r *Registry) gather(first start) []start {
	batch := []start{first}
	for len(batch) < maxBatch {
		select {
		case next := <-r.starts:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// writeStarts writes keys to the table, or to the object store during a
// confirmed outage of the table. If the write fails, the requests are not sent.
func (r *Registry) writeStarts(ctx context.Context, batch []start) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var err error
	if r.rights.Outage(time.Now()) {
		err = r.writeSegments(ctx, batch)
	} else {
		err = r.writeRows(ctx, batch)
	}
	r.writes.Inc()
	if err == nil && !r.rights.MayAct(time.Now()) {
		err = fault.New(fault.NotOwner, "the right to answer for the key was lost while it was written")
	}
	for _, st := range batch {
		if err != nil {
			st.written <- fault.New(fault.PlatformUnavailable, "the key could not be kept, so the request was not sent: %w", err)
			continue
		}
		st.written <- nil
	}
}

func (r *Registry) writeRows(ctx context.Context, batch []start) error {
	tx := platform.Tx{ID: uuid.NewString()}
	for _, st := range batch {
		value, err := json.Marshal(st.record)
		if err != nil {
			return err
		}
		tx.Puts = append(tx.Puts, platform.Put{Key: rowKey(st.shard, st.hash), Value: value})
	}
	return r.table.Commit(ctx, tx)
}

// writeSegments writes one object for each shard in the batch. Each object has
// a new number, so none is overwritten. A new owner reads objects until a
// number is missing; numbers are used only by objects that were written.
func (r *Registry) writeSegments(ctx context.Context, batch []start) error {
	byShard := map[string]map[string]Record{}
	for _, st := range batch {
		if byShard[st.shard] == nil {
			byShard[st.shard] = map[string]Record{}
		}
		byShard[st.shard][st.hash] = st.record
	}
	for shard, records := range byShard {
		if err := r.writeSegment(ctx, shard, records); err != nil {
			return err
		}
	}
	return nil
}

func (r *Registry) writeSegment(ctx context.Context, shard string, records map[string]Record) error {
	r.mu.Lock()
	s, ok := r.shards[shard]
	if !ok {
		r.mu.Unlock()
		return fault.New(fault.NotOwner, "the shard was lost")
	}
	key := segmentKey(shard, s.held.Shard.Epoch, s.segments)
	for hash := range records {
		s.dirty[hash] = true
	}
	r.mu.Unlock()
	data, err := json.Marshal(records)
	if err != nil {
		return err
	}
	if err := r.objects.PutObject(ctx, key, data); err != nil {
		return err
	}
	r.mu.Lock()
	s.segments++
	r.mu.Unlock()
	return nil
}

// flush writes ends to the table and removes old keys in one write.
func (r *Registry) flush(ctx context.Context) {
	now := time.Now()
	if r.rights.Outage(now) || !r.rights.MayAct(now) {
		return
	}
	tx, undo := r.pending(now)
	if len(tx.Puts)+len(tx.Deletes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	r.writes.Inc()
	if err := r.table.Commit(ctx, tx); err != nil {
		undo()
	}
}

// pending takes the next batch of changes to write; undo puts them back.
func (r *Registry) pending(now time.Time) (platform.Tx, func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tx := platform.Tx{ID: uuid.NewString()}
	var back []func()
	for shard, s := range r.shards {
		s.expire(now)
		for hash := range s.dirty {
			if len(tx.Puts) >= maxBatch {
				break
			}
			rec, ok := s.records[hash]
			delete(s.dirty, hash)
			if !ok {
				continue
			}
			value, err := json.Marshal(rec)
			if err != nil {
				continue
			}
			tx.Puts = append(tx.Puts, platform.Put{Key: rowKey(shard, hash), Value: value})
			back = append(back, func() { s.dirty[hash] = true })
		}
		for hash := range s.removed {
			if len(tx.Deletes) >= maxBatch {
				break
			}
			delete(s.removed, hash)
			tx.Deletes = append(tx.Deletes, rowKey(shard, hash))
			back = append(back, func() { s.removed[hash] = true })
		}
	}
	return tx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, f := range back {
			f()
		}
	}
}
