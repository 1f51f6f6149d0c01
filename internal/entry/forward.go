package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"gentianstand/internal/fault"
	"gentianstand/internal/peer"
)

// forward sends the request to another instance.
func (s *Server) forward(ctx context.Context, w http.ResponseWriter, c *call, to peer.Remote, mode string, capture *bodyCapture) attempt {
	out, err := c.outgoing(ctx, "http://"+to.Address+PathServices+c.service.Name+"/"+c.path)
	if err != nil {
		return attempt{err: err}
	}
	out.Header.Set(headerForwarded, mode)
	out.Header.Set(HeaderTimeout, strconv.FormatFloat(max(time.Until(c.deadline).Seconds(), 0.001), 'f', 3, 64))
	s.metrics.forwards.Inc()
	resp, err := s.instances.RoundTrip(out)
	if err != nil {
		s.hub.MarkFailed(to.Process.Instance)
		if isDialError(err) {
			return attempt{err: fault.New(fault.UpstreamUnreachable, "instance %s: %w", to.Process.Instance, err)}
		}
		if !time.Now().Before(c.deadline) {
			return attempt{err: fault.New(fault.DeadlineExceeded, "instance %s did not answer in time", to.Process.Instance).WithOutcome(fault.MayHaveRun)}
		}
		return attempt{err: fault.New(fault.UpstreamFailed, "instance %s: %w", to.Process.Instance, err)}
	}
	defer resp.Body.Close()
	if mode == forwardTry && retryableElsewhere(resp) {
		return attempt{err: fault.New(fault.UpstreamUnreachable, "instance %s had no slot left", to.Process.Instance)}
	}
	return s.deliver(w, c, resp, capture, fmt.Sprintf("instance %s", to.Process.Instance))
}

// retryableElsewhere reports whether another instance refused the request without running it,
// because it had no slot, was stopping or could not reach a worker. The request can then be
// sent elsewhere.
func retryableElsewhere(resp *http.Response) bool {
	if fault.Outcome(resp.Header.Get(HeaderOutcome)) != fault.DidNotRun {
		return false
	}
	switch fault.Kind(resp.Header.Get(HeaderErrorKind)) {
	case fault.Overloaded, fault.Stopping, fault.UpstreamUnreachable:
		return true
	}
	return false
}
