package run

import (
	"encoding/json"
	"fmt"
	"strings"

	"gentianstand/internal/platform"
)

// The layout of a run in the table: a head, and its tasks in chunks, so that
// a change of one task of a large batch writes little.
const (
	Prefix    = "run/"
	ChunkSize = 64
)

// HeadKey returns the key of a run's head.
func HeadKey(id string) string { return Prefix + id + "/head" }

// ChunkKey returns the key of the chunk that holds task index*ChunkSize.
func ChunkKey(id string, chunk int) string { return fmt.Sprintf("%s%s/tasks/%05d", Prefix, id, chunk) }

// Chunks returns how many chunks hold n tasks.
func Chunks(n int) int { return (n + ChunkSize - 1) / ChunkSize }

// HeadValue returns the value of the run's head.
func (r *Run) HeadValue() ([]byte, error) {
	head := *r
	head.Tasks = nil
	return json.Marshal(head)
}

// ChunkValue returns the value of one chunk of the run's tasks.
func (r *Run) ChunkValue(chunk int) ([]byte, error) {
	from := chunk * ChunkSize
	to := min(from+ChunkSize, len(r.Tasks))
	return json.Marshal(r.Tasks[from:to])
}

// Parse puts runs together from the rows of a scan in key order.
func Parse(rows []platform.Row) ([]*Run, error) {
	var runs []*Run
	byID := map[string]*Run{}
	for _, row := range rows {
		id, part, ok := strings.Cut(strings.TrimPrefix(row.Key, Prefix), "/")
		if !ok {
			return nil, fmt.Errorf("row %s: not a run's", row.Key)
		}
		r := byID[id]
		if part == "head" {
			r = &Run{}
			if err := json.Unmarshal(row.Value, r); err != nil {
				return nil, fmt.Errorf("row %s: %w", row.Key, err)
			}
			byID[id] = r
			runs = append(runs, r)
			continue
		}
		if r == nil {
			return nil, fmt.Errorf("row %s: its head is missing", row.Key)
		}
		var tasks []Task
		if err := json.Unmarshal(row.Value, &tasks); err != nil {
			return nil, fmt.Errorf("row %s: %w", row.Key, err)
		}
		r.Tasks = append(r.Tasks, tasks...)
	}
	return runs, nil
}
