package idempotency

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/fault"
	"gentianstand/internal/live"
	"gentianstand/internal/membership"
	"gentianstand/internal/ownership"
	"gentianstand/internal/platform"
)

// Registry holds the keys of the shards that this process owns. It is safe for
// concurrent use.
type Registry struct {
	process string
	timing  membership.Timing
	table   platform.Table
	objects platform.Objects
	rights  Rights
	log     *logrus.Entry
	starts  chan start
	writes  *metrics.Counter

	mu     sync.Mutex
	shards map[string]*shardKeys
}

// start is a key that must be written before its request may be sent.
type start struct {
	shard, hash string
	record      Record
	written     chan error
}

// NewRegistry returns a Registry without shards.
func NewRegistry(process live.Process, timing membership.Timing, table platform.Table, objects platform.Objects, rights Rights, set *metrics.Set, log *logrus.Entry) *Registry {
	return &Registry{
		process: process.String(), timing: timing, table: table, objects: objects, rights: rights, log: log,
		starts: make(chan start, 1024), shards: map[string]*shardKeys{},
		writes: set.NewCounter("gentianstand_key_writes_total"),
	}
}

// SetHeld sets the shards that this process owns.
func (r *Registry) SetHeld(held []ownership.HeldShard) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := map[string]*shardKeys{}
	for _, h := range held {
		if !h.HandedOverAt.IsZero() || h.Shard.Name == live.PlannerShard {
			continue
		}
		s, ok := r.shards[h.Shard.Name]
		if !ok || s.held.Shard.Epoch != h.Shard.Epoch {
			s = newShardKeys(h)
		}
		s.held = h
		next[h.Shard.Name] = s
	}
	r.shards = next
}

// Begin registers a key before its request is sent. It returns nil, nil once
// the key is stored and the request may be sent; the caller must then call End
// or Release. Otherwise the error describes the state of the key, and the
// response, if not nil, is the one to the first request.
func (r *Registry) Begin(ctx context.Context, shard, service, key string) (*Response, error) {
	s, hash, err := r.beginWhenReady(ctx, shard, service, key)
	if err != nil {
		return s, err
	}
	st := start{shard: shard, hash: hash, record: Record{State: Started, At: time.Now(), Process: r.process}, written: make(chan error, 1)}
	select {
	case r.starts <- st:
	case <-ctx.Done():
		r.Release(shard, service, key)
		return nil, fault.New(fault.Overloaded, "too many keys wait to be kept")
	}
	if err := <-st.written; err != nil {
		r.Release(shard, service, key)
		return nil, err
	}
	return nil, nil
}

// beginWhenReady is tryBegin, but after a shard has changed owners it waits
// until the keys of the previous owners are loaded.
func (r *Registry) beginWhenReady(ctx context.Context, shard, service, key string) (*Response, string, error) {
	for {
		response, hash, err := r.tryBegin(shard, service, key)
		if !errors.Is(err, errTakingOver) {
			return response, hash, err
		}
		select {
		case <-ctx.Done():
			return nil, hash, err
		case <-time.After(readyPollPeriod):
		}
	}
}

// tryBegin marks a key as started in memory, or returns the reason why it
// cannot.
func (r *Registry) tryBegin(shard, service, key string) (*Response, string, error) {
	now := time.Now()
	hash := keyHash(service, key)
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.shards[shard]
	switch {
	case !ok || !r.rights.MayAct(now):
		return nil, hash, fault.New(fault.NotOwner, "this instance is not the home of the key")
	case !s.ready:
		return nil, hash, fault.New(fault.Overloaded, "%w", errTakingOver)
	}
	if known, ok := s.records[hash]; ok {
		return known.Response, hash, r.existingKeyError(known)
	}
	if len(s.records) >= maxKeys {
		return nil, hash, fault.New(fault.Overloaded, "%d keys are remembered already", len(s.records)).WithRetryAfter(time.Minute)
	}
	s.records[hash] = &Record{State: Started, At: now, Process: r.process}
	delete(s.removed, hash)
	return nil, hash, nil
}

func (r *Registry) existingKeyError(rec *Record) error {
	switch {
	case rec.State == Ended:
		return fault.New(fault.AlreadyRan, "the request of this key was executed at %s", rec.At.Format(time.RFC3339))
	case rec.State == Started && rec.Process == r.process:
		return fault.New(fault.KeyInProgress, "the request of this key is being executed")
	default:
		return fault.New(fault.OutcomeUnknown, "the request of this key was let go at %s and may have run", rec.At.Format(time.RFC3339))
	}
}

// End records how the request of a key ended: Ended if an upstream answered,
// Unknown if it may have been executed. response may be nil; a large one is not
// stored.
func (r *Registry) End(shard, service, key string, state State, response *Response) {
	r.update(shard, service, key, func(s *shardKeys, hash string) {
		rec, ok := s.records[hash]
		if !ok {
			return
		}
		rec.State = state
		if response != nil && len(response.Body) <= MaxStoredBody {
			rec.Response = response
		}
		s.dirty[hash] = true
	})
}

// Release removes a key whose request was certainly not executed.
func (r *Registry) Release(shard, service, key string) {
	r.update(shard, service, key, func(s *shardKeys, hash string) {
		delete(s.records, hash)
		delete(s.dirty, hash)
		s.removed[hash] = true
	})
}

func (r *Registry) update(shard, service, key string, f func(*shardKeys, string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.shards[shard]; ok {
		f(s, keyHash(service, key))
	}
}
