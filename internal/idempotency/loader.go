package idempotency

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"gentianstand/internal/platform"
)

// loadShards reads the keys of shards that were taken over, once previous
// owners have certainly stopped.
func (r *Registry) loadShards(ctx context.Context) {
	now := time.Now()
	for name, s := range r.unready(now) {
		records, err := r.load(ctx, name, s.held.Shard.Epoch)
		if err != nil {
			r.log.WithError(err).WithField("shard", name).Warn("keys_unreadable")
			return
		}
		r.mu.Lock()
		s.records = records
		s.ready = true
		r.mu.Unlock()
	}
}

func (r *Registry) unready(now time.Time) map[string]*shardKeys {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := map[string]*shardKeys{}
	for name, s := range r.shards {
		if !s.ready && !now.Before(s.held.PredecessorsStoppedBy(r.timing)) {
			list[name] = s
		}
	}
	return list
}

// load reads the rows of a shard and the objects of earlier epochs.
func (r *Registry) load(ctx context.Context, shard string, epoch uint64) (map[string]*Record, error) {
	records := map[string]*Record{}
	for e := firstEpochToLoad(epoch); e < epoch; e++ {
		if err := r.loadSegments(ctx, shard, e, records); err != nil {
			return nil, err
		}
	}
	after := ""
	for {
		rows, err := r.table.Scan(ctx, shardPrefix(shard), after, loadPage)
		if err != nil {
			return nil, err
		}
		if err := addRows(records, shard, rows); err != nil {
			return nil, err
		}
		if len(rows) < loadPage {
			return records, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// maxEpochsBack bounds how many earlier epochs are read. An epoch lasts much
// longer than Retention divided by it.
const maxEpochsBack = 16

func firstEpochToLoad(epoch uint64) uint64 {
	if epoch <= maxEpochsBack {
		return 0
	}
	return epoch - maxEpochsBack
}

func (r *Registry) loadSegments(ctx context.Context, shard string, epoch uint64, records map[string]*Record) error {
	for n := 0; ; n++ {
		data, err := r.objects.GetObject(ctx, segmentKey(shard, epoch, n))
		if err != nil {
			return err
		}
		if len(data) == 0 {
			return nil
		}
		var segment map[string]*Record
		if err := json.Unmarshal(data, &segment); err != nil {
			return err
		}
		for hash, rec := range segment {
			if time.Since(rec.At) <= Retention {
				records[hash] = rec
			}
		}
	}
}

func addRows(records map[string]*Record, shard string, rows []platform.Row) error {
	for _, row := range rows {
		rec := &Record{}
		if err := json.Unmarshal(row.Value, rec); err != nil {
			return err
		}
		records[strings.TrimPrefix(row.Key, shardPrefix(shard))] = rec
	}
	return nil
}
