package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/entry"
	"gentianstand/internal/peer"
	"gentianstand/internal/peer/peerpb"
)

// The limits of the servers.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	closeTimeout   = 2 * time.Second
)

// servers are the HTTP servers of an instance: one for callers and operators, one for other
// instances.
type servers struct {
	settings Settings
	caller   *http.Server
	peer     *http.Server
	log      *logrus.Entry
}

func newServers(s Settings, e *entry.Server, p *peer.Server, log *logrus.Entry) *servers {
	return &servers{
		settings: s, log: log,
		caller: &http.Server{Handler: e.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes},
		peer:   &http.Server{Handler: peerpb.NewPeerServer(p), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes},
	}
}

// listen opens both addresses and serves them in the background.
func (s *servers) listen() error {
	caller, err := listen(s.settings.Listen)
	if err != nil {
		return err
	}
	peerListener, err := listen(s.settings.PeerListen)
	if err != nil {
		_ = caller.Close()
		return err
	}
	go s.serve(s.caller, caller)
	go s.serve(s.peer, peerListener)
	s.log.WithFields(logrus.Fields{"listen": caller.Addr(), "peer_listen": peerListener.Addr()}).Info("listening")
	return nil
}

// listen opens a TCP address with keep-alive probes, so that connections of callers that vanished
// without closing them are detected within seconds.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

func (s *servers) serve(server *http.Server, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.log.WithError(err).Error("server_failed")
	}
}

// close stops both servers. Requests in progress get closeTimeout to finish.
func (s *servers) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := s.caller.Shutdown(ctx)
	return errors.Join(err, s.peer.Shutdown(ctx))
}
