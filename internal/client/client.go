// Package client implements the HTTP client with which operators' commands call an instance.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"gentianstand/internal/fault"
)

// Client sends requests to the HTTP API of one instance.
type Client struct {
	server   string
	token    string
	operator string
	http     *http.Client
}

// New returns a client for the instance at server (host:port). operator is the name that the
// audit trail records.
func New(server, token, operator string, timeout time.Duration) *Client {
	return &Client{server: server, token: token, operator: operator, http: &http.Client{Timeout: timeout}}
}

// errorBody is the part of an error response that the client decodes.
type errorBody struct {
	Error struct {
		Kind             fault.Kind    `json:"kind"`
		Message          string        `json:"message"`
		Outcome          fault.Outcome `json:"outcome"`
		RetryAfterMillis int64         `json:"retry_after_ms"`
	} `json:"error"`
}

// Do sends a request with body to path and decodes the response into out, unless out is nil. If
// the instance responds with a fault, the error is that fault.Error.
func (c *Client) Do(ctx context.Context, method, path string, query url.Values, header http.Header, body []byte, out any) error {
	target := "http://" + c.server + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	req.Header.Set("X-Operator", c.operator)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("instance %s: %w", c.server, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("instance %s: read response: %w", c.server, err)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeError(resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("instance %s: decode response: %w", c.server, err)
	}
	return nil
}

func decodeError(status int, data []byte) error {
	var body errorBody
	if json.Unmarshal(data, &body) != nil || body.Error.Kind == "" {
		return fmt.Errorf("status %d: %s", status, bytes.TrimSpace(data))
	}
	f := fault.New(body.Error.Kind, "%s", body.Error.Message).WithOutcome(body.Error.Outcome)
	return f.WithRetryAfter(time.Duration(body.Error.RetryAfterMillis) * time.Millisecond)
}
