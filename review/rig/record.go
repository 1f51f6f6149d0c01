//go:build review

// Package rig runs the project's own program against stand-ins of the users' platform: a store, an
// adviser, workers and callers, with proxies between them.
package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, with the time since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
