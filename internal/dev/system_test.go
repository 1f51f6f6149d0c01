package dev_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gentianstand/internal/dev"
	"gentianstand/internal/entry"
	standworker "gentianstand/internal/standin/worker"
)

// newSystem starts a system and runs dev.Check on it, which applies the sample text. The service
// of the sample is then running.
func newSystem(t *testing.T) *dev.System {
	t.Helper()
	sys, err := dev.Start(context.Background(), dev.Settings{Instances: 2, Workers: 4, WorkersPerRack: 2, LogLevel: "error"}, io.Discard)
	t.Cleanup(sys.Stop)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if !dev.Check(ctx, sys, &out) {
		t.Fatalf("the check of the sample failed:\n%s", out.String())
	}
	return sys
}

// TestCheck checks that dev.Check succeeds on a new system.
func TestCheck(t *testing.T) { newSystem(t) }

type errorBody struct {
	Error struct {
		Kind      string `json:"kind"`
		Message   string `json:"message"`
		Outcome   string `json:"outcome"`
		RequestID string `json:"request_id"`
	} `json:"error"`
}

// TestBadRequests checks that each kind of invalid input is answered with an error kind, an
// outcome and the request ID, and that the instance continues to serve.
func TestBadRequests(t *testing.T) {
	sys := newSystem(t)
	long := strings.Repeat("k", 300)
	cases := []struct {
		name, method, path string
		header             map[string]string
		body               string
		status             int
		kind, message      string
	}{
		{"unknown path", "GET", "/nowhere", nil, "", 404, "unknown_path", "services are below /s/"},
		{"unknown service", "GET", "/s/nobody/x", nil, "", 404, "unknown_service", `no service "nobody"`},
		{"a batch is no service", "GET", "/s/letters/x", nil, "", 404, "unknown_service", `no service "letters"`},
		{"timeout is no number", "GET", "/s/casedesk/x", map[string]string{entry.HeaderTimeout: "soon"}, "", 400, "bad_request", "allowed: seconds above 0"},
		{"timeout out of range", "GET", "/s/casedesk/x", map[string]string{entry.HeaderTimeout: "1e9"}, "", 400, "bad_request", "at most 600"},
		{"timeout not a number", "GET", "/s/casedesk/x", map[string]string{entry.HeaderTimeout: "NaN"}, "", 400, "bad_request", "allowed: seconds above 0"},
		{"key too long", "POST", "/s/casedesk/x", map[string]string{entry.HeaderIdempotencyKey: long}, "", 400, "bad_request", "at most 255"},
		{"text with mistakes", "POST", "/v1/config", nil, "version: 9\n", 400, "bad_request", "1:10:"},
		{"text too large", "POST", "/v1/config", nil, strings.Repeat("#", 2<<20), 413, "too_large", "larger than"},
		{"base is no number", "POST", "/v1/config?base=x", nil, dev.Sample, 400, "bad_request", "the number of a configuration"},
		{"base of another version", "POST", "/v1/config?base=99", nil, dev.Sample, 409, "conflict", "configuration 1"},
		{"submit unknown workload", "POST", "/v1/workloads/nothing/runs", nil, "", 404, "unknown_run", "no workload"},
		{"submit a service", "POST", "/v1/workloads/casedesk/runs", nil, "", 400, "bad_request", "is a service"},
		{"unknown run", "GET", "/v1/runs/nothing", nil, "", 404, "unknown_run", "no run"},
		{"cancel nothing", "DELETE", "/v1/runs/nothing", nil, "", 404, "unknown_run", "nothing named"},
		{"audit limit", "GET", "/v1/audit?limit=0", nil, "", 400, "bad_request", "1 to 10000"},
		{"audit since", "GET", "/v1/audit?since=yesterday", nil, "", 400, "bad_request", "a time such as"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			req, err := http.NewRequest(c.method, "http://"+sys.Instances[0]+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			for name, value := range c.header {
				req.Header.Set(name, value)
			}
			req.Header.Set(entry.HeaderRequestID, "test-17")
			expect(t, req, c.status, c.kind, c.message)
		})
	}
}

func expect(t *testing.T, req *http.Request, status int, kind, message string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil {
		t.Fatalf("status %d, body is not JSON: %s", resp.StatusCode, data)
	}
	if resp.StatusCode != status || body.Error.Kind != kind || !strings.Contains(body.Error.Message, message) {
		t.Errorf("got %d %s", resp.StatusCode, data)
	}
	if body.Error.Outcome == "" || body.Error.RequestID != "test-17" || resp.Header.Get(entry.HeaderRequestID) != "test-17" {
		t.Errorf("outcome or request ID is missing: %s", data)
	}
}

// rawRequest sends bytes and returns the first line of the response, or "" if the connection was
// closed without a response.
func rawRequest(t *testing.T, address, request string, closeWrite bool) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := io.WriteString(conn, request); err != nil {
		return ""
	}
	if closeWrite {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

// TestMalformedRequests checks that requests that are not HTTP, are too large, or end early are
// refused, and that the instance then still serves requests.
func TestMalformedRequests(t *testing.T) {
	sys := newSystem(t)
	address := sys.Instances[0]
	cases := []struct{ name, request, want string }{
		{"not HTTP", "\x16\x03\x01 hello\r\n\r\n", "400"},
		{"no host", "GET / HTTP/1.1\r\n\r\n", "400"},
		{"header too large", "GET / HTTP/1.1\r\nHost: x\r\nX-Big: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", "431"},
		{"two lengths", "POST /s/casedesk/x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello", "400"},
		{"body cut short", "POST /s/casedesk/x HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhello", "400"},
		{"length too large", "POST /s/casedesk/x HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n", "413"},
	}
	before := countRequests(sys)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if line := rawRequest(t, address, c.request, true); !strings.Contains(line, c.want) {
				t.Errorf("got %q, want %s", line, c.want)
			}
		})
	}
	if after := countRequests(sys); after != before {
		t.Errorf("%d malformed requests reached a worker", after-before)
	}
	resp, err := http.Get("http://" + address + "/s/casedesk/still-there")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("request after the malformed ones: response %v, error %v", resp, err)
	}
}

// Guards against running out of connections: the server must close a connection whose sender
// stalls in the header or the body.
func TestSlowSenders(t *testing.T) {
	sys := newSystem(t)
	before := countRequests(sys)
	cases := []struct{ name, request, want string }{
		{"header", "GET /s/casedesk/x HTTP/1.1\r\nHost: x\r\n", ""},
		{"body", "POST /s/casedesk/x HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhello", "400"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if line := rawRequest(t, sys.Instances[0], c.request, false); !strings.Contains(line, c.want) {
				t.Errorf("got %q, want %s", line, c.want)
			}
			if after := countRequests(sys); after != before {
				t.Errorf("%d unfinished requests reached a worker", after-before)
			}
		})
	}
}

func countRequests(sys *dev.System) int {
	n := 0
	for _, e := range sys.Record.Events() {
		if e.Type == standworker.RequestRan {
			n++
		}
	}
	return n
}

// Guards against two failures when a worker responds with invalid data: the caller receives that
// data, or a request that must not be repeated runs twice.
func TestWorkerAnswersNonsense(t *testing.T) {
	sys := newSystem(t)
	sys.WorkerFaults(standworker.Fault{Nonsense: true})
	before := countRequests(sys)
	req, _ := http.NewRequest(http.MethodPost, "http://"+sys.Instances[0]+"/s/casedesk/order", nil)
	req.Header.Set(entry.HeaderRequestID, "test-17")
	expect(t, req, http.StatusBadGateway, "upstream_failed", "worker")
	if n := countRequests(sys) - before; n != 1 {
		t.Errorf("the request ran %d times", n)
	}
}

// TestStreaming checks that a body larger than any buffer is streamed unchanged in both
// directions.
func TestStreaming(t *testing.T) {
	sys := newSystem(t)
	const chunk, chunks = 64 << 10, 32
	reader, writer := io.Pipe()
	req, _ := http.NewRequest(http.MethodPost, "http://"+sys.Instances[1]+"/s/casedesk/echo", reader)
	go func() {
		for range chunks {
			_, _ = writer.Write(bytes.Repeat([]byte("x"), chunk))
		}
		_ = writer.Close()
	}()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || bytes.Count(data, []byte("x")) != chunk*chunks {
		t.Errorf("%d of %d bytes returned, error %v", bytes.Count(data, []byte("x")), chunk*chunks, err)
	}
}

// TestOperatorToken checks that operators' requests without the right token are refused. Requests
// to services need no token; the test does not cover them.
func TestOperatorToken(t *testing.T) {
	sys, err := dev.Start(context.Background(), dev.Settings{Instances: 1, Workers: 1, WorkersPerRack: 1, LogLevel: "error", OperatorToken: "secret"}, io.Discard)
	t.Cleanup(sys.Stop)
	if err != nil {
		t.Fatal(err)
	}
	for _, token := range []string{"", "wrong"} {
		req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/config", sys.Instances[0]), nil)
		req.Header.Set("Authorization", "Bearer "+token)
		req.Header.Set(entry.HeaderRequestID, "test-17")
		expect(t, req, http.StatusUnauthorized, "unauthorized", "operator token")
	}
	req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/config", sys.Instances[0]), nil)
	req.Header.Set("Authorization", "Bearer secret")
	if resp, err := http.DefaultClient.Do(req); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("request with the token: response %v, error %v", resp, err)
	}
}
