package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"gentianstand/internal/platform"
)

// The layout of the trail in the table. Keys sort by the time of the entries.
const (
	prefix = "audit/"
	// pageSize bounds one read of the trail.
	pageSize = 500
)

// Trail reads and writes the audit trail.
type Trail struct {
	table    platform.Table
	instance string
}

// NewTrail returns the trail in table. New entries name instance as their origin.
func NewTrail(table platform.Table, instance string) *Trail {
	return &Trail{table: table, instance: instance}
}

// Put returns the row of an entry. The caller commits it in one transaction with the change itself,
// so that neither exists without the other.
func (t *Trail) Put(e Entry) platform.Put {
	e.Instance = t.instance
	value, _ := json.Marshal(e)
	return platform.Put{Key: key(e.At), Value: value}
}

// Add writes an entry on its own, for a change that is not written in the same transaction, such as
// a refused one. If the table does not respond, the error wraps platform.ErrUnavailable.
func (t *Trail) Add(ctx context.Context, e Entry) error {
	tx := platform.Tx{ID: uuid.NewString(), Puts: []platform.Put{t.Put(e)}}
	return t.table.Commit(ctx, tx)
}

// List returns up to limit entries since a time, oldest first.
func (t *Trail) List(ctx context.Context, since time.Time, limit int) ([]Entry, error) {
	after := prefix + timeKey(since)
	var entries []Entry
	for len(entries) < limit {
		rows, err := t.table.Scan(ctx, prefix, after, min(pageSize, limit-len(entries)))
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return entries, nil
		}
		for _, row := range rows {
			var e Entry
			if err := json.Unmarshal(row.Value, &e); err != nil {
				return nil, fmt.Errorf("audit row %s: %w", row.Key, err)
			}
			entries = append(entries, e)
			after = row.Key
		}
	}
	return entries, nil
}

func key(at time.Time) string { return prefix + timeKey(at) + "-" + uuid.NewString()[:8] }

func timeKey(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return fmt.Sprintf("%020d", at.UnixNano())
}
