package celljobs

import (
	"context"
	"strings"

	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

// StoredProgress is the rows of one job's progress.
type StoredProgress struct {
	// Main is the row of the job, with version 0 if there is none.
	Main store.Row
	// Parts are the rows of the parts.
	Parts []store.Row
}

// Decode returns the progress, or nil if none is stored.
func (s StoredProgress) Decode() (*job.Progress, error) {
	if s.Main.Version == 0 {
		return nil, nil
	}
	p, err := job.DecodeProgress(s.Main.Value)
	if err != nil {
		return nil, err
	}
	for _, row := range s.Parts {
		_, id, ok := ParsePartKey(row.Key)
		if !ok {
			continue
		}
		part, err := job.DecodeProgress(row.Value)
		if err != nil {
			return nil, err
		}
		p.AddPart(id, part)
	}
	return p, nil
}

// Progress reads the progress of one job.
func (j *Jobs) Progress(ctx context.Context, id string) (StoredProgress, error) {
	row, err := j.store.Get(ctx, TableProgress, j.cell, id)
	if err != nil || row.Version == 0 {
		return StoredProgress{}, err
	}
	kept := StoredProgress{Main: row}
	if p, err := job.DecodeProgress(row.Value); err != nil || !p.Split {
		// Decode reports the error.
		return kept, nil
	}
	kept.Parts, err = j.parts(ctx, id)
	return kept, err
}

// parts reads the parts of a job's progress.
func (j *Jobs) parts(ctx context.Context, id string) ([]store.Row, error) {
	prefix := partsPrefix(id)
	var parts []store.Row
	for from := prefix; ; {
		page, err := j.store.Read(ctx, TableProgress, j.cell, from)
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			if !strings.HasPrefix(row.Key, prefix) {
				return parts, nil
			}
			parts = append(parts, row)
		}
		if !page.More || len(page.Rows) == 0 {
			return parts, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}
