package run

import (
	"encoding/json"
	"fmt"
	"strings"

	"gentianstand/internal/platform"
)

// A run is stored in the table as a head row and chunks of tasks, so that a
// change of one task of a large batch requires only a small write.
const (
	Prefix    = "run/"
	ChunkSize = 64
)

// HeadKey returns the key of a run's head.
func HeadKey(id string) string { return Prefix + id + "/head" }

// ChunkKey returns the key of the chunk whose first task has the index
// chunk*ChunkSize.
func ChunkKey(id string, chunk int) string { return fmt.Sprintf("%s%s/tasks/%05d", Prefix, id, chunk) }

// Chunks returns the number of chunks that hold n tasks.
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

// Parse assembles runs from the rows of a scan in key order.
func Parse(rows []platform.Row) ([]*Run, error) {
	var runs []*Run
	byID := map[string]*Run{}
	for _, row := range rows {
		id, part, ok := strings.Cut(strings.TrimPrefix(row.Key, Prefix), "/")
		if !ok {
			return nil, fmt.Errorf("row %s does not belong to a run", row.Key)
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
			return nil, fmt.Errorf("row %s: the head row of its run is missing", row.Key)
		}
		var tasks []Task
		if err := json.Unmarshal(row.Value, &tasks); err != nil {
			return nil, fmt.Errorf("row %s: %w", row.Key, err)
		}
		r.Tasks = append(r.Tasks, tasks...)
	}
	return runs, nil
}
