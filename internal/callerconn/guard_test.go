package callerconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/callerlimit"
	"gentianstand/internal/fault"
)

// maxBody is the largest body that the test server accepts.
const maxBody = 20 << 10

// wideLimits are limits that no test reaches.
var wideLimits = callerlimit.Limits{Connections: 100, BodyBytes: 1 << 20, Requests: 100}

// testServer is a server with a guard. It answers a POST with the length of the body, a GET when release is
// closed, and other requests at once without reading the body.
type testServer struct {
	address string
	guard   *Guard
	release chan struct{}
}

// startServer starts a server whose bodies must arrive within bodyTime.
func startServer(t *testing.T, l callerlimit.Limits, bodyTime time.Duration) *testServer {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := NewGuard(l, metrics.NewSet(), log)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(LimitAcceptQueue(listener), LimitReceiveBuffer(listener)); err != nil {
		t.Fatal(err)
	}
	s := &testServer{address: listener.Addr().String(), guard: g, release: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, bodyTime) })}
	g.Install(server)
	go func() {
		if err := server.Serve(g.WrapListener(listener)); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request, bodyTime time.Duration) {
	if err := Serve(w, r); err != nil {
		writeFault(w, err)
		return
	}
	switch r.Method {
	case http.MethodPost:
		body, err := ReadBody(w, r, maxBody, time.Now().Add(bodyTime))
		if err != nil {
			writeFault(w, err)
			return
		}
		fmt.Fprint(w, len(body))
	case http.MethodGet:
		<-s.release
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// await waits until the usage of the server fulfills a condition.
func (s *testServer) await(t *testing.T, what string, ok func(callerlimit.Usage) bool) {
	t.Helper()
	for range 6000 {
		if ok(s.guard.ledger.Usage()) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not within a minute: %s", what)
}

func writeFault(w http.ResponseWriter, err error) {
	f := fault.From(err)
	w.Header().Set("Kind", string(f.Kind))
	w.WriteHeader(f.Answer().Status)
}

// client is a connection to the test server.
type client struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func dial(t *testing.T, s *testServer) *client {
	t.Helper()
	conn, err := net.Dial("tcp4", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &client{t, conn, bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// sendHeader sends the header of a request with a body of length bytes, or a chunked one if length is
// negative.
func (c *client) sendHeader(method string, length int) {
	c.t.Helper()
	framing := "Transfer-Encoding: chunked"
	if length >= 0 {
		framing = fmt.Sprintf("Content-Length: %d", length)
	}
	c.send(method + " / HTTP/1.1\r\nHost: desk\r\n" + framing + "\r\n\r\n")
}

// expect reads a response and checks its status and its body or error kind.
func (c *client) expect(status int, text string) {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Minute))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	if got := resp.Header.Get("Kind") + string(body); resp.StatusCode != status || got != text {
		c.t.Errorf("got %d %q, want %d %q", resp.StatusCode, got, status, text)
	}
}

func TestBodiesAreReadWhole(t *testing.T) {
	c := dial(t, startServer(t, wideLimits, time.Minute))
	for _, n := range []int{0, 1, firstBodyBytes, firstBodyBytes + 1, maxBody} {
		c.sendHeader(http.MethodPost, n)
		c.send(strings.Repeat("x", n))
		c.expect(http.StatusOK, fmt.Sprint(n))
		c.sendHeader(http.MethodPost, -1)
		if n > 0 {
			c.send(fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)))
		}
		c.send("0\r\n\r\n")
		c.expect(http.StatusOK, fmt.Sprint(n))
	}
}

func TestBodiesBeyondTheirLimitAreRejected(t *testing.T) {
	address := startServer(t, wideLimits, time.Minute)
	c := dial(t, address)
	c.sendHeader(http.MethodPost, maxBody+1)
	c.expect(http.StatusRequestEntityTooLarge, string(fault.TooLarge))
	c = dial(t, address)
	c.sendHeader(http.MethodPost, -1)
	c.send(fmt.Sprintf("%x\r\n%s", maxBody+1, strings.Repeat("x", maxBody+1)))
	c.expect(http.StatusRequestEntityTooLarge, string(fault.TooLarge))
}

// Guards against bodies that never end and hold their requests for good.
func TestBodyThatStopsShortIsRejected(t *testing.T) {
	address := startServer(t, wideLimits, 50*time.Millisecond)
	for _, length := range []int{maxBody, -1} {
		c := dial(t, address)
		c.sendHeader(http.MethodPost, length)
		c.send("10\r\nxx")
		c.expect(http.StatusServiceUnavailable, string(fault.RequestTimeout))
		if _, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("after the response the connection ends with %v, want EOF", err)
		}
	}
}

// Guards against responses that wait for a body that no handler reads.
func TestResponseDoesNotWaitForAnUnneededBody(t *testing.T) {
	address := startServer(t, wideLimits, time.Minute)
	for _, length := range []int{10, maxBody, -1} {
		c := dial(t, address)
		c.sendHeader(http.MethodPut, length)
		c.expect(http.StatusNoContent, "")
	}
}

// Guards against a read timeout that outlasts its request.
func TestConnectionIsUsableAfterTheTimeoutOfItsBody(t *testing.T) {
	c := dial(t, startServer(t, wideLimits, 50*time.Millisecond))
	for range 2 {
		c.sendHeader(http.MethodPost, 3)
		c.send("abc")
		c.expect(http.StatusOK, "3")
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against an eviction of which the caller is not told.
func TestEvictedBodyIsRejected(t *testing.T) {
	const bodyBytes = 5 * firstBodyBytes * heldPerBodyByte
	s := startServer(t, callerlimit.Limits{Connections: 10, BodyBytes: bodyBytes, Requests: 10}, time.Minute)
	large := dial(t, s)
	large.sendHeader(http.MethodPost, maxBody)
	large.send(strings.Repeat("x", maxBody-1))
	s.await(t, "the large body holds all memory", func(u callerlimit.Usage) bool { return u.BodyBytes == bodyBytes })
	small := dial(t, s)
	small.sendHeader(http.MethodPost, 3)
	small.send("abc")
	small.expect(http.StatusOK, "3")
	large.expect(http.StatusServiceUnavailable, string(fault.Overloaded))
}

// Guards against requests beyond the limit that wait for their turn instead of being rejected.
func TestRequestBeyondTheLimitIsRejected(t *testing.T) {
	s := startServer(t, callerlimit.Limits{Connections: 10, BodyBytes: 1 << 20, Requests: 1}, time.Minute)
	first := dial(t, s)
	first.sendHeader(http.MethodGet, 0)
	s.await(t, "a request is in progress", func(u callerlimit.Usage) bool { return u.Requests == 1 })
	second := dial(t, s)
	second.sendHeader(http.MethodPost, 0)
	second.expect(http.StatusServiceUnavailable, string(fault.Overloaded))
	close(s.release)
	first.expect(http.StatusOK, "")
	first.sendHeader(http.MethodPost, 0)
	first.expect(http.StatusOK, "0")
}

// Guards against connections beyond the limit that get no answer.
func TestConnectionBeyondTheLimitIsRejected(t *testing.T) {
	s := startServer(t, callerlimit.Limits{Connections: 1, BodyBytes: 1 << 20, Requests: 10}, time.Minute)
	first := dial(t, s)
	first.sendHeader(http.MethodGet, 0)
	s.await(t, "a request is in progress", func(u callerlimit.Usage) bool { return u.Requests == 1 })
	second := dial(t, s)
	second.expect(http.StatusServiceUnavailable, "")
	close(s.release)
	first.expect(http.StatusOK, "")
}
