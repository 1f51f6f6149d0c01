// Package httpwire implements worker.Agent over HTTP with JSON bodies. All knowledge of this
// wire format, for tasks and for requests, is confined to it.
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

// The paths and headers of the wire format.
const (
	PathSync     = "/v1/sync"
	PathRequests = "/v1/requests"
	PathServe    = "/serve/"
	// HeaderEpoch is the header with the owner's epoch, sent with each request.
	HeaderEpoch = "X-Worker-Epoch"
	// HeaderRequest is the header with the id of a request.
	HeaderRequest = "X-Worker-Request"
	// HeaderRefused marks a response of the agent itself, which means that the request was
	// not executed. Its value is the reason.
	HeaderRefused = "X-Worker-Refused"
)

// The values of HeaderRefused.
const (
	RefusedEpoch   = "stale_epoch"
	RefusedSlots   = "no_slot"
	RefusedService = "no_replica"
	RefusedRevoked = "revoked"
)

// Agent is a client of one worker's agent. It implements worker.Agent.
type Agent struct {
	address string
	timeout time.Duration
	http    *http.Client
}

// NewAgent returns a client of the agent at address (host:port). Its calls share client and
// are limited by timeout.
func NewAgent(client *http.Client, address string, timeout time.Duration) *Agent {
	return &Agent{address: address, timeout: timeout, http: client}
}

// Sync implements worker.Agent.
func (a *Agent) Sync(ctx context.Context, req worker.SyncRequest) (worker.SyncReply, error) {
	var reply worker.SyncReply
	if err := a.post(ctx, PathSync, req, &reply); err != nil {
		return worker.SyncReply{}, fmt.Errorf("sync: %w", err)
	}
	return reply, nil
}

// QueryRequests implements worker.Agent.
func (a *Agent) QueryRequests(ctx context.Context, ids []string) ([]worker.RequestState, error) {
	var states []worker.RequestState
	if err := a.post(ctx, PathRequests, ids, &states); err != nil {
		return nil, fmt.Errorf("query requests: %w", err)
	}
	if len(states) != len(ids) {
		return nil, fmt.Errorf("query requests: %w: %d states for %d requests", worker.ErrUnreachable, len(states), len(ids))
	}
	return states, nil
}

// post makes a call and decodes the response into reply.
func (a *Agent) post(ctx context.Context, path string, message, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := a.http.Do(httpReq)
	if err != nil {
		return fmt.Errorf("%w: %w", worker.ErrUnreachable, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return worker.ErrStaleEpoch
	case http.StatusTooEarly:
		return worker.ErrOutOfOrder
	default:
		return fmt.Errorf("%w: status %d", worker.ErrUnreachable, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(reply); err != nil {
		return fmt.Errorf("%w: %w", worker.ErrUnreachable, err)
	}
	return nil
}
