package callerconn

import (
	"errors"
	"net/http"
	"time"

	"gentianstand/internal/callerlimit"
	"gentianstand/internal/fault"
)

const (
	// unreadBodyTimeout is how long a response waits for a body that its handler has not read. The server
	// reads the rest of such a body, so that the connection can be used again.
	unreadBodyTimeout = 500 * time.Millisecond
	// retryAfter is the retry delay after a rejection. Other instances may have room at once.
	retryAfter = time.Second
)

// Serve begins the execution of a request, or rejects it.
func Serve(w http.ResponseWriter, r *http.Request) error {
	c := connOf(r)
	if c == nil {
		return nil
	}
	SkipBody(r)
	if err := c.slot.Serve(); err != nil {
		return c.reject(w, err)
	}
	return nil
}

// SkipBody limits how long the response waits for the body of a request. ReadBody and StreamBody end that.
func SkipBody(r *http.Request) {
	if c := connOf(r); c != nil && r.ContentLength != 0 {
		_ = c.SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // fails only on closed connections
	}
}

// reject returns the error for the caller of a request that the limits do not admit.
func (c *conn) reject(w http.ResponseWriter, cause error) error {
	limit := limitMemory
	if errors.Is(cause, callerlimit.ErrBusy) {
		limit = limitRequests
	}
	c.guard.metrics.rejected(limit)
	return c.rejectBody(w, fault.New(fault.Overloaded, "%w", cause).WithRetryAfter(retryAfter))
}
