package cellowner

import (
	"context"

	"gentianstand/internal/store"
)

// writeFate is what happens to one write.
type writeFate int

const (
	answered writeFate = iota
	appliedWithoutAnswer
	delayedWrite
	refusedWrite
)

// fatedStore applies, delays and refuses writes as drawn beforehand.
type fatedStore struct {
	delayingStore
	fates []writeFate
	// between runs before the call after the next callsBefore ones.
	callsBefore int
	between     func()
}

func (s *fatedStore) Get(ctx context.Context, table, partition, key string) (store.Row, error) {
	s.called()
	return s.delayingStore.Get(ctx, table, partition, key)
}

// called runs between if its call has come.
func (s *fatedStore) called() {
	if s.between == nil {
		return
	}
	if s.callsBefore--; s.callsBefore < 0 {
		between := s.between
		s.between = nil
		between()
	}
}

func (s *fatedStore) Commit(_ context.Context, tx store.Tx) (uint64, error) {
	s.called()
	fate := answered
	if len(s.fates) > 0 {
		fate, s.fates = s.fates[0], s.fates[1:]
	}
	switch fate {
	case appliedWithoutAnswer:
		_, _ = s.apply(tx) // nobody learns of the outcome
		return 0, store.ErrUnknown
	case delayedWrite:
		s.delayed = append(s.delayed, tx)
		return 0, store.ErrUnknown
	case refusedWrite:
		return 0, store.ErrUnavailable
	}
	return s.apply(tx)
}
