package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/callerconn"
	"gentianstand/internal/callerlimit"
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
	caller *server
	peer   *server
	log    *logrus.Entry
}

func newServers(s Settings, e *entry.Server, p *peer.Server, set *metrics.Set, log *logrus.Entry) *servers {
	guard := callerconn.NewGuard(callerlimit.LimitsFor(s.machine()), set, log)
	return &servers{
		caller: newServer("callers", s.Listen, e.Handler(), log).withGuard(guard),
		peer:   newServer("peers", s.PeerListen, peerpb.NewPeerServer(p), log),
		log:    log,
	}
}

// listen opens both addresses and serves them in the background.
func (s *servers) listen() error {
	caller, err := s.caller.listen()
	if err != nil {
		return err
	}
	peerAddress, err := s.peer.listen()
	if err != nil {
		_ = s.caller.http.Close()
		return err
	}
	s.log.WithFields(logrus.Fields{"listen": caller, "peer_listen": peerAddress}).Info("listening")
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

// close stops both servers at the same time. Requests in progress get closeTimeout to finish.
func (s *servers) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	peers := make(chan error, 1)
	go func() { peers <- s.peer.shutdown(ctx) }()
	err := s.caller.shutdown(ctx)
	return errors.Join(err, <-peers)
}
