//go:build review

// Package harness starts the project's instances as separate processes between stand-ins of the
// platform, the workers and the clients, and records what was sent, answered and run.
package harness

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes the events of a run to a file, with seconds since the start of the run.
type Record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Add writes one event.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Print writes one event and shows it on standard output as well.
func (r *Record) Print(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close flushes and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()  // the record is complete up to the error
	_ = r.file.Close() // nothing follows
}
