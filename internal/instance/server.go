package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/callerconn"
)

// server is an HTTP server on one address.
type server struct {
	name        string
	address     string
	http        *http.Server
	connections *connections
	// guard, if not nil, limits what the server holds for its callers.
	guard *callerconn.Guard
	log   *logrus.Entry
}

func newServer(name, address string, handler http.Handler, log *logrus.Entry) *server {
	open := newConnections()
	return &server{name: name, address: address, connections: open, log: log, http: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: open.stateChanged,
	}}
}

// withGuard makes the server apply the limits of a guard.
func (s *server) withGuard(g *callerconn.Guard) *server {
	s.guard = g
	g.Install(s.http)
	return s
}

// listen opens the address and serves it in the background.
func (s *server) listen() (net.Addr, error) {
	listener, err := listen(s.address)
	if err != nil {
		return nil, err
	}
	address := listener.Addr()
	if s.guard != nil {
		if err := callerconn.LimitAcceptQueue(listener); err != nil {
			s.log.WithField("server", s.name).WithError(err).Warn("kernel_limits_not_set")
		}
		listener = s.guard.WrapListener(listener)
	}
	go s.serve(listener)
	return address, nil
}

func (s *server) serve(l net.Listener) {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.log.WithField("server", s.name).WithError(err).Error("server_failed")
	}
}

// shutdown finishes the requests in progress until ctx ends, and then cuts the rest. Shutdown of
// the library also waits for connections that have carried no request yet; these are no reason to
// report a failure.
func (s *server) shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err == nil {
		return nil
	}
	cut, unused := s.connections.count(http.StateActive), s.connections.count(http.StateNew)
	_ = s.http.Close() // what remains is cut in any case
	s.log.WithFields(logrus.Fields{"server": s.name, "requests": cut, "unused": unused}).Warn("connections_cut_at_stop")
	if cut == 0 {
		return nil
	}
	return fmt.Errorf("%d requests of %s were cut: %w", cut, s.name, err)
}
