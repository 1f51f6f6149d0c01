// Package httpwire implements the services of package platform over HTTP with JSON bodies.
// All knowledge of this wire format is confined to it.
package httpwire

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"gentianstand/internal/platform"
)

// The paths and the header of the wire format.
const (
	PathGet       = "/table/get"
	PathScan      = "/table/scan"
	PathCommit    = "/table/commit"
	PathObjects   = "/objects/"
	PathInstances = "/instances"
	// HeaderClient is the header with the id of the calling instance.
	HeaderClient = "X-Platform-Client"
)

// Client implements platform.Table, platform.Objects and platform.Directory.
type Client struct {
	base    string
	name    string
	timeout time.Duration
	http    *http.Client
}

// New returns a client of the platform at base, an http URL. name is the id of this
// instance; timeout limits each call.
func New(base, name string, timeout time.Duration) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 16
	return &Client{base: base, name: name, timeout: timeout, http: &http.Client{Transport: transport}}
}

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, key string) (platform.Row, error) {
	var row platform.Row
	err := c.call(ctx, PathGet, GetRequest{Key: key}, &row)
	return row, err
}

// Scan implements platform.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	var rows []platform.Row
	err := c.call(ctx, PathScan, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &rows)
	return rows, err
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, tx platform.Tx) error {
	return c.call(ctx, PathCommit, tx, nil)
}

// PutObject implements platform.Objects.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	_, err := c.do(ctx, http.MethodPut, PathObjects+url.PathEscape(key), data)
	return err
}

// GetObject implements platform.Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, PathObjects+url.PathEscape(key), nil)
}

// Instances implements platform.Directory.
func (c *Client) Instances(ctx context.Context) ([]platform.Instance, error) {
	body, err := c.do(ctx, http.MethodGet, PathInstances, nil)
	if err != nil {
		return nil, err
	}
	var list []platform.Instance
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, fmt.Errorf("list instances: %w: %w", platform.ErrUnavailable, err)
	}
	return list, nil
}

func (c *Client) call(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	answer, err := c.do(ctx, http.MethodPost, path, body)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("decode %s: %w: %w", path, platform.ErrUnavailable, err)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request %s: %w", path, err)
	}
	req.Header.Set(HeaderClient, c.name)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, platform.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, platform.ErrUnavailable, err)
	}
	return answer, statusError(resp.StatusCode, path)
}

func statusError(status int, path string) error {
	switch status {
	case http.StatusOK, http.StatusNoContent, http.StatusNotFound:
		return nil
	case http.StatusConflict:
		return platform.ErrConflict
	default:
		return fmt.Errorf("%s: %w: status %d", path, platform.ErrUnavailable, status)
	}
}
