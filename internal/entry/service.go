package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/callerconn"
	"gentianstand/internal/fault"
	"gentianstand/internal/routing"
	"gentianstand/internal/worker/httpwire"
)

// attempt is the result of one attempt to execute a request.
type attempt struct {
	// answered is set if a response was sent to the caller.
	answered bool
	// err is a fault if answered is not set. Its outcome states whether the request ran.
	err error
}

// serveService handles a request to a service.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request, service, path string) {
	id := requestID(r)
	w.Header().Set(HeaderRequestID, id)
	started := time.Now()
	err := callerconn.Serve(w, r)
	var c *call
	if err == nil {
		c, err = s.checkCall(w, r, id, service, path, started)
	}
	if err == nil {
		err = s.serve(w, c)
	}
	if err != nil {
		s.refuse(w, r, id, service, err)
	}
	s.metrics.countRequest(service, err, time.Since(started))
}

func (s *Server) checkCall(w http.ResponseWriter, r *http.Request, id, service, path string, now time.Time) (*call, error) {
	if s.stopped.Load() {
		return nil, fault.New(fault.Stopping, "instance %s is stopping", s.identity.Process.Instance)
	}
	rec, text := s.config.Get()
	if rec.Number == 0 {
		return nil, fault.New(fault.PlatformUnavailable, "no configuration is in force here yet")
	}
	workload, ok := text.Workload(service)
	if !ok || workload.Kind != "service" {
		return nil, fault.New(fault.UnknownService, "no service %q is in configuration %d", service, rec.Number)
	}
	return newCall(w, r, id, workload, path, now)
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, id, service string, err error) {
	f := fault.From(err)
	s.log.WithFields(logrus.Fields{
		"request": id, "service": service, "method": r.Method, "kind": f.Kind, "outcome": f.Answer().Outcome,
	}).Info("request_refused")
	writeError(w, id, f)
}

// serve executes the request and returns an error if no response was sent to the caller.
func (s *Server) serve(w http.ResponseWriter, c *call) error {
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	if c.needsKeyOwner() && c.forwarded != forwardTry && c.forwarded != forwardWait {
		return s.serveKeyed(ctx, w, c)
	}
	return s.execute(ctx, w, c, nil)
}

// execute makes attempts until the caller is answered or no further attempt is safe and useful.
// A request that did not run is retried up to maxRetries times, to get past workers whose owner
// has just changed and dead connections. A request that may have run is retried only if it is
// repeatable and the retry budget permits it, with at most maxAttempts such attempts.
func (s *Server) execute(ctx context.Context, w http.ResponseWriter, c *call, capture *bodyCapture) error {
	skip := map[string]bool{}
	counted := 0
	for n := 0; ; n++ {
		a := s.attempt(ctx, w, c, skip, capture)
		if a.answered {
			return nil
		}
		if fault.From(a.err).Answer().Outcome != fault.DidNotRun {
			counted++
		}
		if counted == maxAttempts || n == maxRetries || !s.shouldRetry(ctx, c, a.err) {
			return a.err
		}
		s.metrics.retries.Inc()
	}
}

func (s *Server) shouldRetry(ctx context.Context, c *call, err error) bool {
	f := fault.From(err)
	if ctx.Err() != nil || !c.canRetry() {
		return false
	}
	switch f.Kind {
	case fault.UpstreamUnreachable:
		return true
	case fault.UpstreamFailed:
		didNotRun := f.Answer().Outcome == fault.DidNotRun
		return didNotRun || (c.repeatable() && s.router.MayRetry(c.service.Name))
	default:
		return false
	}
}

// attempt takes a free slot of this instance, or forwards the request to an instance that has
// one, or waits for a slot of this instance if no instance has one.
func (s *Server) attempt(ctx context.Context, w http.ResponseWriter, c *call, skip map[string]bool, capture *bodyCapture) attempt {
	now := time.Now()
	req := routing.Request{ID: uuid.NewString(), Rank: c.service.Urgency.Rank(), Deadline: c.deadline}
	if g := s.router.TryAcquire(ctx, c.service.Name, req, now); g != nil {
		return s.dispatch(w, c, g, capture)
	}
	if c.forwarded == forwardTry {
		return attempt{err: fault.New(fault.Overloaded, "no slot is free at instance %s", s.identity.Process.Instance)}
	}
	own := s.router.Slots()[c.service.Name].Total
	if c.forwarded != forwardWait {
		if remote, free, ok := s.hub.Choose(c.service.Name, skip); ok && (free || own == 0) {
			skip[remote.Process.Instance] = true
			return s.forward(ctx, w, c, remote, forwardMode(free), capture)
		}
	}
	if own == 0 {
		return attempt{err: fault.New(fault.Overloaded, "no replica of service %s is running", c.service.Name)}
	}
	g, err := s.router.Acquire(ctx, c.service.Name, req, now)
	if err != nil {
		return attempt{err: err}
	}
	return s.dispatch(w, c, g, capture)
}

func forwardMode(free bool) string {
	if free {
		return forwardTry
	}
	return forwardWait
}

// dispatch sends the request to the worker whose slot it has acquired.
func (s *Server) dispatch(w http.ResponseWriter, c *call, g *routing.Grant, capture *bodyCapture) attempt {
	result := routing.Abandoned
	defer func() { g.Done(result, time.Now()) }()
	out, err := c.outgoing(g.Context(), "http://"+g.Address+httpwire.PathServe+c.service.Name+"/"+c.path)
	if err != nil {
		return attempt{err: err}
	}
	out.Header.Set(httpwire.HeaderEpoch, strconv.FormatUint(g.Epoch, 10))
	out.Header.Set(httpwire.HeaderRequest, g.ID)
	resp, err := s.upstreams.RoundTrip(out)
	if err != nil {
		result = failureResult(c, err)
		return attempt{err: s.upstreamFault(c, g, err)}
	}
	defer resp.Body.Close()
	if reason := resp.Header.Get(httpwire.HeaderRefused); reason != "" {
		result = routing.Abandoned
		s.router.CloseWorker(g.Worker, g.Epoch)
		return attempt{err: fault.New(fault.UpstreamUnreachable, "worker %s refused: %s", g.Worker, reason)}
	}
	g.ResponseStarted()
	result = routing.Answered
	s.router.ObserveLatency(c.service.Name, time.Since(g.GrantedAt))
	return s.deliver(w, c, resp, capture, g.Worker)
}

// deliver streams the response to the caller. If that fails, it aborts the caller's connection
// by a panic that net/http handles.
func (s *Server) deliver(w http.ResponseWriter, c *call, resp *http.Response, capture *bodyCapture, from string) attempt {
	if err := streamResponse(w, resp, capture); err != nil {
		s.log.WithFields(logrus.Fields{"request": c.id, "from": from}).WithError(err).Info("answer_broken")
		panic(http.ErrAbortHandler)
	}
	return attempt{answered: true}
}

func failureResult(c *call, err error) routing.Result {
	if c.callerGone() && !errors.Is(err, routing.ErrNeverArrived) {
		return routing.Abandoned
	}
	return routing.Failed
}

// upstreamFault returns the fault for a failed request to a worker, with what is known about
// its outcome.
func (s *Server) upstreamFault(c *call, g *routing.Grant, err error) error {
	cause := context.Cause(g.Context())
	switch {
	case errors.Is(cause, routing.ErrNeverArrived):
		// The other idle connections to this worker are probably dead, too.
		s.upstreams.CloseIdleConnections()
		return fault.New(fault.UpstreamFailed, "worker %s: %w", g.Worker, cause).WithOutcome(fault.DidNotRun)
	case errors.Is(cause, routing.ErrAnswerLost):
		return fault.New(fault.UpstreamFailed, "worker %s: %w", g.Worker, cause).WithOutcome(fault.Ran)
	case isDialError(err):
		return fault.New(fault.UpstreamUnreachable, "worker %s: %w", g.Worker, err)
	case !time.Now().Before(c.deadline):
		return fault.New(fault.DeadlineExceeded, "worker %s did not answer in time", g.Worker).WithOutcome(fault.MayHaveRun)
	default:
		return fault.New(fault.UpstreamFailed, "worker %s: %w", g.Worker, err)
	}
}

// isDialError reports whether the connection was never established, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// upstreamPath returns the rest of the path without its leading slash, with the query.
func upstreamPath(r *http.Request, rest string) string {
	path := strings.TrimPrefix(rest, "/")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}
