package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/google/uuid"

	"gentianstand/internal/callerconn"
	"gentianstand/internal/fault"
	"gentianstand/internal/spec"
)

// call is one validated request to a service.
type call struct {
	id        string
	service   spec.Workload
	path      string
	key       string
	forwarded string
	deadline  time.Time
	request   *http.Request
	// body is the whole body if replayable is set; otherwise the body is streamed.
	body       []byte
	replayable bool
	bodySent   bool
}

var idPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]+$`)

// requestID returns the caller's request ID, or a new one if the caller sent none or an
// invalid one.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxIDLength || !idPattern.MatchString(id) {
		return uuid.NewString()
	}
	return id
}

// newCall validates a request and buffers its body if it is small.
func newCall(w http.ResponseWriter, r *http.Request, id string, service spec.Workload, path string, now time.Time) (*call, error) {
	c := &call{id: id, service: service, path: path, request: r, forwarded: r.Header.Get(headerForwarded), key: r.Header.Get(HeaderIdempotencyKey)}
	if len(c.key) > maxKeyLength {
		return nil, fault.New(fault.BadRequest, "header %s has %d characters; allowed: at most %d", HeaderIdempotencyKey, len(c.key), maxKeyLength)
	}
	timeout, err := timeoutOf(r, service)
	if err != nil {
		return nil, err
	}
	c.deadline = now.Add(timeout)
	return c, c.readBody(w)
}

func timeoutOf(r *http.Request, service spec.Workload) (time.Duration, error) {
	timeout := defaultTimeout
	if service.Deadline > 0 {
		timeout = service.Deadline
	}
	value := r.Header.Get(HeaderTimeout)
	if value == "" {
		return timeout, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) || seconds > maxTimeout.Seconds() {
		return 0, fault.New(fault.BadRequest, "header %s is %q; allowed: seconds above 0, at most %g", HeaderTimeout, value, maxTimeout.Seconds())
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// readBody buffers a small body. Others are streamed.
func (c *call) readBody(w http.ResponseWriter) error {
	length := c.request.ContentLength
	switch {
	case length > maxBodyBytes:
		return fault.New(fault.TooLarge, "the body has %d bytes; allowed: at most %d", length, maxBodyBytes)
	case length < 0 || length > replayBytes:
		body, err := callerconn.StreamBody(w, c.request)
		c.request.Body = body
		return err
	}
	body, err := callerconn.ReadBody(w, c.request, replayBytes, time.Now().Add(bodyTimeout))
	if fault.Is(err, fault.RequestTimeout) {
		return fault.New(fault.BadRequest, "the body ended before its %d bytes were read: %w", length, err)
	}
	c.body, c.replayable = body, err == nil
	return err
}

// repeatable reports whether the request is idempotent, so that it may be executed twice.
func (c *call) repeatable() bool {
	if c.service.Idempotent {
		return true
	}
	switch c.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// needsKeyOwner reports whether the request must be handled by the owner of its idempotency
// key's shard.
func (c *call) needsKeyOwner() bool { return c.key != "" && !c.repeatable() }

// outgoing returns the request to send to target. A streamed body can be sent only once.
func (c *call) outgoing(ctx context.Context, target string) (*http.Request, error) {
	var body io.Reader
	switch {
	case len(c.body) > 0:
		body = bytes.NewReader(c.body)
	case !c.replayable:
		c.bodySent = true
		body = http.MaxBytesReader(nil, c.request.Body, maxBodyBytes)
	}
	out, err := http.NewRequestWithContext(ctx, c.request.Method, target, body)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "the request cannot be passed on: %w", err)
	}
	out.Header = forwardableHeaders(c.request.Header)
	out.Header.Set(HeaderRequestID, c.id)
	if !c.replayable {
		out.ContentLength = c.request.ContentLength
	}
	return out, nil
}

// canRetry reports whether another attempt can send the whole body.
func (c *call) canRetry() bool { return c.replayable || !c.bodySent }

// callerGone reports whether the caller has closed the connection.
func (c *call) callerGone() bool { return errors.Is(c.request.Context().Err(), context.Canceled) }
