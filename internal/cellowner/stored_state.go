package cellowner

import (
	"context"
	"fmt"

	"gentianstand/internal/celljobs"
	"gentianstand/internal/roster"
	"gentianstand/internal/store"
)

// storedState is the persistent state that a new owner loads. Its parts are read at the same
// time, so each has its own error.
type storedState struct {
	progress    []store.Row
	progressErr error
	// jobs are the records and cancellations; their feed resumes from jobsVersion.
	jobs        []store.Row
	jobsVersion uint64
	jobsErr     error
	roster      roster.Change
	rosterErr   error
}

func (s *storedState) readProgress(ctx context.Context, d Deps) {
	rows, _, err := store.ReadAll(ctx, store.RetryingReader{Store: d.Store}, celljobs.TableProgress, d.Jobs.ProgressPartition())
	if err != nil {
		s.progressErr = fmt.Errorf("read progress: %w", err)
	}
	s.progress = rows
}

func (s *storedState) readJobs(ctx context.Context, d Deps) {
	rows, version, err := d.Jobs.Records(ctx)
	if err != nil {
		s.jobsErr = fmt.Errorf("read jobs: %w", err)
	}
	s.jobs, s.jobsVersion = rows, version
}

func (s *storedState) readRoster(ctx context.Context, d Deps) {
	workers, err := d.Roster.All(ctx)
	if err != nil {
		s.rosterErr = fmt.Errorf("read roster: %w", err)
	}
	s.roster = workers
}
