// Package httpwire reaches a worker's agent over HTTP with JSON bodies. It
// holds everything that knows this wire, for tasks and for requests.
package httpwire

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"gentianstand/internal/worker"
)

// The paths and headers of the wire.
const (
	PathSync  = "/v1/sync"
	PathServe = "/serve/"
	// HeaderEpoch carries the owner's epoch with each request.
	HeaderEpoch = "X-Worker-Epoch"
	// HeaderRequest carries the id of a request.
	HeaderRequest = "X-Worker-Request"
	// HeaderRefused marks an answer of the agent itself: the request was not
	// executed. Its value is the reason.
	HeaderRefused = "X-Worker-Refused"
)

// The reasons in HeaderRefused.
const (
	RefusedEpoch   = "stale_epoch"
	RefusedSlots   = "no_slot"
	RefusedService = "no_replica"
	RefusedRevoked = "revoked"
)

// Agent implements worker.Agent for one worker.
type Agent struct {
	url     string
	timeout time.Duration
	http    *http.Client
}

// NewAgent returns the agent at address (host:port). Calls share client and
// are bounded by timeout.
func NewAgent(client *http.Client, address string, timeout time.Duration) *Agent {
	return &Agent{url: "http://" + address + PathSync, timeout: timeout, http: client}
}

// Sync implements worker.Agent.
func (a *Agent) Sync(ctx context.Context, req worker.SyncRequest) (worker.SyncReply, error) {
	var reply worker.SyncReply
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	body, err := json.Marshal(req)
	if err != nil {
		return reply, fmt.Errorf("encode sync: %w", err)
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, a.url, bytes.NewReader(body))
	if err != nil {
		return reply, fmt.Errorf("sync: %w", err)
	}
	resp, err := a.http.Do(httpReq)
	if err != nil {
		return reply, fmt.Errorf("sync: %w: %w", worker.ErrUnreachable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusConflict {
		return reply, worker.ErrStaleEpoch
	}
	if resp.StatusCode == http.StatusTooEarly {
		return reply, worker.ErrOutOfOrder
	}
	if resp.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("sync: %w: status %d", worker.ErrUnreachable, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return reply, fmt.Errorf("sync: %w: %w", worker.ErrUnreachable, err)
	}
	return reply, nil
}
