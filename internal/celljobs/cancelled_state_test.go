package celljobs

import (
	"context"
	"testing"

	"gentianstand/internal/access"
	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

// keyedStore applies transactions without their checks and counts the marks.
type keyedStore struct {
	store.Store
	rows  map[string]store.Row
	marks int
}

func (s *keyedStore) Commit(_ context.Context, tx store.Tx) (uint64, error) {
	for _, p := range tx.Puts {
		s.rows[p.Table+p.Key] = store.Row{Table: p.Table, Key: p.Key, Value: p.Value, Version: 1}
		if _, ok := ParseMarkKey(p.Key); ok {
			s.marks++
		}
	}
	return 1, nil
}

func (s *keyedStore) Get(_ context.Context, table, _, key string) (store.Row, error) {
	return s.rows[table+key], nil
}

// Guards against a cancellation that changes a stored final state, and against a write for each
// question about a cancelled job.
func TestCancelledJobIsMarkedOnceAndOnlyWithoutAFinalState(t *testing.T) {
	for _, test := range []struct {
		name     string
		progress *job.Progress
		want     job.State
		marks    int
	}{
		{"nothing stored", nil, job.Cancelled, 1},
		{"running", &job.Progress{}, job.Cancelled, 1},
		{"completed", &job.Progress{Final: job.Completed}, job.Completed, 0},
		{"failed", &job.Progress{Final: job.Failed}, job.Failed, 0},
		{"cancelled", &job.Progress{Final: job.Cancelled}, job.Cancelled, 0},
	} {
		s := &keyedStore{rows: map[string]store.Row{}}
		jobs := New(store.NewMonitored(s), "cell")
		if _, err := jobs.Create(t.Context(), record()); err != nil {
			t.Fatal(err)
		}
		if test.progress != nil {
			value, err := job.EncodeProgress(test.progress)
			if err != nil {
				t.Fatal(err)
			}
			s.rows[TableProgress+record().ID] = store.Row{Key: record().ID, Value: value, Version: 1}
		}
		if _, err := jobs.Cancel(t.Context(), access.Caller{Anonymous: true}, record().ID, true); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			if status, known, err := jobs.Status(t.Context(), record().ID); err != nil || !known || status.State != test.want {
				t.Errorf("%s: state %q, known %v, error %v; want %s", test.name, status.State, known, err, test.want)
			}
		}
		if s.marks != test.marks {
			t.Errorf("%s: %d marks stored, want %d", test.name, s.marks, test.marks)
		}
	}
}
