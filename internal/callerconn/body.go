package callerconn

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"gentianstand/internal/callerlimit"
	"gentianstand/internal/fault"
)

const (
	// firstBodyBytes is the size of the first buffer of a body. Bodies that are larger take memory as
	// they arrive, so that an announced length alone takes none.
	firstBodyBytes = 4 << 10
	// heldPerBodyByte is the memory that a body takes for each of its bytes: itself, the buffer that it
	// has outgrown, its decoded form, and the form in which it is stored.
	heldPerBodyByte = 4
	// maxBodyTime bounds the time in which a body must arrive, whatever deadline its caller sets.
	maxBodyTime = 30 * time.Second
)

// ReadBody returns the body of a request. It rejects bodies of more than limit bytes, those that have not
// arrived completely by the deadline, and those for which there is no memory. The request is executed
// only if ReadBody returns no error.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	c := connOf(r)
	if r.ContentLength > limit {
		return nil, c.rejectBody(w, fault.New(fault.TooLarge, "the body has %d bytes; allowed: at most %d", r.ContentLength, limit))
	}
	if c == nil {
		return readUnguarded(w, r, limit, deadline)
	}
	c.receiving.Store(true)
	if err := c.slot.Receive(time.Now()); err != nil {
		return nil, c.reject(w, err)
	}
	if latest := time.Now().Add(maxBodyTime); deadline.After(latest) {
		deadline = latest
	}
	_ = c.SetReadDeadline(deadline) // fails only on closed connections
	body, err := c.readBody(r, limit)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		// An eviction shows as a timeout, or only here if the body was complete before.
		err = cmp.Or(c.slot.Serve(), err)
	}
	if err != nil {
		return nil, c.rejectUnread(w, err)
	}
	c.receiving.Store(false)
	_ = c.SetReadDeadline(time.Time{}) // fails only on closed connections
	return body, nil
}

// readBody reads the body into a buffer that grows as the body arrives.
func (c *conn) readBody(r *http.Request, limit int64) ([]byte, error) {
	most := limit + 1
	if r.ContentLength >= 0 {
		most = r.ContentLength
	}
	var body []byte
	for int64(len(body)) < most {
		if len(body) == cap(body) {
			grown, err := c.grow(body, most)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		c.slot.Progress(time.Now())
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
	if int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, nil
}

// grow returns the body in a buffer of twice the size, but no more than most bytes.
func (c *conn) grow(body []byte, most int64) ([]byte, error) {
	size := min(max(firstBodyBytes, 2*int64(cap(body))), most)
	evicted, err := c.slot.Hold((size-int64(cap(body)))*heldPerBodyByte, time.Now())
	c.guard.interrupt(evicted)
	if err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), body...), nil
}

// errTooLarge means that a body without a length exceeds its limit.
var errTooLarge = errors.New("the body exceeds its limit")

// rejectUnread returns the error for the caller whose body was not read.
func (c *conn) rejectUnread(w http.ResponseWriter, cause error) error {
	switch {
	case errors.Is(cause, callerlimit.ErrEvicted), errors.Is(cause, callerlimit.ErrNoMemory), errors.Is(cause, callerlimit.ErrBusy):
		return c.reject(w, cause)
	case errors.Is(cause, os.ErrDeadlineExceeded):
		c.guard.metrics.rejected(limitTime)
		return c.rejectBody(w, fault.New(fault.RequestTimeout, "the body has not arrived in time").WithRetryAfter(retryAfter))
	case errors.Is(cause, errTooLarge):
		return c.rejectBody(w, fault.New(fault.TooLarge, "%w", cause))
	default:
		return c.rejectBody(w, fault.New(fault.BadRequest, "the body broke off: %w", cause))
	}
}

// rejectBody returns err. The rest of the body is not needed, so the connection is closed after the
// response.
func (c *conn) rejectBody(w http.ResponseWriter, err error) error {
	w.Header().Set("Connection", "close")
	if c != nil {
		c.slot.Release()
		_ = c.SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // fails only on closed connections
	}
	return err
}

// readUnguarded reads a body of a server that has no guard. After an error the deadline stays in place:
// without it, the server would wait for the rest of the body before it sends the response.
func readUnguarded(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline) // not all writers support it
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, fault.New(fault.BadRequest, "the body broke off: %w", err)
	}
	_ = control.SetReadDeadline(time.Time{}) // as above
	if int64(len(body)) > limit {
		return nil, fault.New(fault.TooLarge, "%w", errTooLarge)
	}
	return body, nil
}
