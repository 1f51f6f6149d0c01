package cellowner

import (
	"context"
	"fmt"

	"gentianstand/internal/celljobs"
	"gentianstand/internal/roster"
	"gentianstand/internal/store"
)

// stored is what a new owner reads. Its parts are read at the same time, so each
// has an error of its own.
type stored struct {
	progress    []store.Row
	progressErr error
	// jobs are the records and cancellations, jobsVersion is where their feed
	// resumes.
	jobs        []store.Row
	jobsVersion uint64
	jobsErr     error
	roster      roster.Change
	rosterErr   error
}

func (s *stored) readProgress(ctx context.Context, d Deps) {
	rows, _, err := store.ReadAll(ctx, store.RetryingReader{Store: d.Store}, celljobs.TableProgress, d.Jobs.ProgressPartition())
	if err != nil {
		s.progressErr = fmt.Errorf("read progress: %w", err)
	}
	s.progress = rows
}

func (s *stored) readJobs(ctx context.Context, d Deps) {
	rows, version, err := d.Jobs.Records(ctx)
	if err != nil {
		s.jobsErr = fmt.Errorf("read jobs: %w", err)
	}
	s.jobs, s.jobsVersion = rows, version
}

func (s *stored) readRoster(ctx context.Context, d Deps) {
	workers, err := d.Roster.All(ctx)
	if err != nil {
		s.rosterErr = fmt.Errorf("read roster: %w", err)
	}
	s.roster = workers
}
