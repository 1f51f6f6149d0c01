package entry

import (
	"context"
	"net/http"

	"gentianstand/internal/fault"
	"gentianstand/internal/idempotency"
	"gentianstand/internal/live"
)

// serveKeyed handles a request that must run at most once. If this instance owns the shard of
// the idempotency key, it serves the request itself; otherwise it forwards it to the owner.
func (s *Server) serveKeyed(ctx context.Context, w http.ResponseWriter, c *call) error {
	view := s.view()
	shard := idempotency.OwningShard(c.service.Name, c.key, shardNames(view))
	if shard == "" {
		return fault.New(fault.Overloaded, "no shard is known yet")
	}
	owner := view.Shards[shard].Owner.Instance
	if holder, epoch := s.hub.Holder(shard); epoch > view.Shards[shard].Epoch {
		owner = holder
	}
	if owner == s.identity.Process.Instance || c.forwarded == forwardKey {
		return s.serveAsKeyOwner(ctx, w, c, shard)
	}
	remote, ok := s.hub.Remote(owner)
	if !ok {
		return fault.New(fault.UpstreamUnreachable, "the home of the key, instance %q, is not known here", owner)
	}
	a := s.forward(ctx, w, c, remote, forwardKey, nil)
	if a.answered {
		return nil
	}
	return a.err
}

// serveAsKeyOwner executes the request once its key is stored, and records the outcome. An
// outcome that is not certain is recorded as unknown.
func (s *Server) serveAsKeyOwner(ctx context.Context, w http.ResponseWriter, c *call, shard string) error {
	response, err := s.registry.Begin(ctx, shard, c.service.Name, c.key)
	if response != nil {
		replay(w, response)
		return nil
	}
	if err != nil {
		return err
	}
	capture := &bodyCapture{limit: idempotency.MaxStoredBody}
	recorder := &statusRecorder{ResponseWriter: w}
	ended := false
	defer func() {
		if !ended {
			s.registry.End(shard, c.service.Name, c.key, idempotency.Unknown, nil)
		}
	}()
	err = s.execute(ctx, recorder, c, capture)
	ended = true
	s.recordOutcome(shard, c, recorder, capture, err)
	return err
}

func (s *Server) recordOutcome(shard string, c *call, recorder *statusRecorder, capture *bodyCapture, err error) {
	outcome := fault.Outcome(recorder.Header().Get(HeaderOutcome))
	if err != nil {
		outcome = fault.From(err).Answer().Outcome
	}
	name := c.service.Name
	switch {
	case outcome == fault.DidNotRun:
		s.registry.Release(shard, name, c.key)
	case outcome != "":
		s.registry.End(shard, name, c.key, idempotency.Unknown, nil)
	case capture.overflow:
		s.registry.End(shard, name, c.key, idempotency.Ended, nil)
	default:
		kept := &idempotency.Response{Status: recorder.status, Header: recorder.Header().Clone(), Body: capture.body.Bytes()}
		s.registry.End(shard, name, c.key, idempotency.Ended, kept)
	}
}

// replay sends the stored response of the first request with the same key.
func replay(w http.ResponseWriter, response *idempotency.Response) {
	for name, values := range response.Header {
		if name != HeaderRequestID {
			w.Header()[name] = values
		}
	}
	w.Header().Set(HeaderReplayed, "true")
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

func shardNames(view live.View) []string {
	names := make([]string, 0, len(view.Shards))
	for name := range view.Shards {
		if name != live.PlannerShard {
			names = append(names, name)
		}
	}
	return names
}
