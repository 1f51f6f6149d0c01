package node

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/instance"
)

// maxQueuedLines bounds the number of lines that wait to be written.
const maxQueuedLines = 2048

// NewLog returns a logger that never blocks. Lines wait in a bounded queue; when it is full,
// they are dropped and counted, because a slow reader of the output must not delay scheduling
// decisions.
func NewLog(level, name string, out io.Writer) *logrus.Entry {
	return instance.NewLog(level, name, newLineQueue(out))
}

// lineQueue is an io.Writer that writes lines asynchronously from its own goroutine.
type lineQueue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

func newLineQueue(out io.Writer) *lineQueue {
	q := &lineQueue{out: out, lines: make(chan []byte, maxQueuedLines)}
	go q.run()
	return q
}

// Write implements io.Writer. It never fails.
func (q *lineQueue) Write(p []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

func (q *lineQueue) run() {
	for line := range q.lines {
		_, _ = q.out.Write(line) // a failed write cannot be reported elsewhere
		if n := q.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(q.out, "level=warning msg=log_lines_dropped lines=%d\n", n) // as above
		}
	}
}
