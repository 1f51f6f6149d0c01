package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/callerconn"
	"gentianstand/internal/traffic"
)

const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
	// probeIdle, probeInterval and probeCount configure TCP keep-alive, so that the kernel
	// closes connections whose peer no longer exists.
	probeIdle     = 5 * time.Second
	probeInterval = time.Second
	probeCount    = 3
)

// server is an HTTP server on one address.
type server struct {
	name    string
	purpose traffic.Purpose
	http    *http.Server
	// guard, if not nil, limits what the server holds for its callers.
	guard *callerconn.Guard
	log   logrus.FieldLogger
}

func newServer(name string, p traffic.Purpose, address string, h http.Handler, log logrus.FieldLogger) *server {
	return &server{name: name, purpose: p, log: log, http: &http.Server{
		Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}
}

// withGuard makes the server apply the limits of a guard.
func (s *server) withGuard(g *callerconn.Guard) *server {
	s.guard = g
	g.Install(s.http)
	return s
}

// listen opens the address and serves it in the background.
func (s *server) listen(ctx context.Context) error {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}}
	listener, err := config.Listen(ctx, "tcp4", s.http.Addr)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", s.name, err)
	}
	if s.guard != nil {
		// Without these limits the server works, too.
		if err := errors.Join(callerconn.LimitAcceptQueue(listener), callerconn.LimitReceiveBuffer(listener)); err != nil {
			s.log.WithField("server", s.name).WithError(err).Warn("kernel_limits_not_set")
		}
	}
	listener = traffic.CounterFor(s.purpose).WrapListener(listener)
	if s.guard != nil {
		listener = s.guard.WrapListener(listener)
	}
	go func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.WithField("server", s.name).WithError(err).Error("server_ended")
		}
	}()
	return nil
}

// shutdown finishes the requests in progress, and closes those that remain when ctx ends.
func (s *server) shutdown(ctx context.Context) {
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.WithField("server", s.name).WithError(err).Warn("requests_cut_at_stop")
		_ = s.http.Close() // the remaining requests are cut off in any case
	}
}

// connectionCloser adds "Connection: close" to responses once an instance is stopping, so that
// callers with an open connection switch to another instance.
type connectionCloser struct {
	next     http.Handler
	stopping *atomic.Bool
}

// ServeHTTP implements http.Handler.
func (c connectionCloser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c.next.ServeHTTP(w, r)
}
