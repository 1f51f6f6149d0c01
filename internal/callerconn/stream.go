package callerconn

import (
	"io"
	"net/http"
	"time"
)

const (
	// streamBytes is the memory of a body that is passed on as it arrives.
	streamBytes = 128 << 10
	// stalledStreamTimeout is how long such a body may stand still. What it is passed on to is occupied
	// meanwhile.
	stalledStreamTimeout = 10 * time.Second
)

// StreamBody returns the body of a request that is passed on as it arrives, or rejects the request. Reading
// fails once the body has stood still for some seconds.
func StreamBody(w http.ResponseWriter, r *http.Request) (io.ReadCloser, error) {
	c := connOf(r)
	if c == nil {
		return r.Body, nil
	}
	evicted, err := c.slot.Hold(streamBytes, time.Now())
	c.guard.interrupt(evicted)
	if err != nil {
		return nil, c.reject(w, err)
	}
	return &stream{ReadCloser: r.Body, conn: c}, nil
}

// stream is a body with a timeout for each of its parts.
type stream struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (s *stream) Read(b []byte) (int, error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(stalledStreamTimeout)) // fails only on closed connections
	n, err := s.ReadCloser.Read(b)
	if err == io.EOF {
		_ = s.conn.SetReadDeadline(time.Time{}) // as above
	}
	return n, err
}
