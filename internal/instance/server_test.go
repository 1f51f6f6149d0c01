package instance

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/sirupsen/logrus"
)

// startServer serves a handler on a loopback port.
func startServer(t *testing.T, h http.HandlerFunc) (*server, string) {
	t.Helper()
	s := newServer("callers", "127.0.0.1:0", h, logrus.NewEntry(logrus.New()))
	address, err := s.listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.http.Close() })
	return s, address.String()
}

// ended returns a context that has ended, so that a shutdown waits for nothing.
func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Guards against a graceful stop that is reported as failed because a caller opened a connection
// and sent nothing.
func TestShutdownIgnoresUnusedConnections(t *testing.T) {
	s, address := startServer(t, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for s.connections.count(http.StateNew) == 0 {
		runtime.Gosched()
	}
	if err := s.shutdown(ended()); err != nil {
		t.Error(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is still open")
	}
}

// Guards against a stop that cuts a request and is reported as graceful.
func TestShutdownReportsRequestsThatItCuts(t *testing.T) {
	started := make(chan struct{})
	s, address := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	})
	answered := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + address)
		if err == nil {
			_ = resp.Body.Close()
		}
		answered <- err
	}()
	<-started
	if err := s.shutdown(ended()); err == nil {
		t.Error("no error for a request that was cut")
	}
	if err := <-answered; err == nil {
		t.Error("the request was answered")
	}
}
