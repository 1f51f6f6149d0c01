// Package client is how operators' commands talk to an instance.
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

// Client calls one instance.
type Client struct {
	server   string
	token    string
	operator string
	http     *http.Client
}

// New returns a client of the instance at server (host:port). operator is the
// name that goes into the audit trail.
func New(server, token, operator string, timeout time.Duration) *Client {
	return &Client{server: server, token: token, operator: operator, http: &http.Client{Timeout: timeout}}
}

// errorBody is the part of an error answer that the client reads.
type errorBody struct {
	Error struct {
		Kind             fault.Kind    `json:"kind"`
		Message          string        `json:"message"`
		Outcome          fault.Outcome `json:"outcome"`
		RetryAfterMillis int64         `json:"retry_after_ms"`
	} `json:"error"`
}

// Do sends body to path and decodes the answer into out. The error is a
// fault.Error if the instance answered with one.
func (c *Client) Do(ctx context.Context, method, path string, query url.Values, header http.Header, body []byte, out any) error {
	target := "http://" + c.server + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("request: %w", err)
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
		return fmt.Errorf("instance %s: the answer broke off: %w", c.server, err)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeError(resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("instance %s: the answer is not understood: %w", c.server, err)
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
