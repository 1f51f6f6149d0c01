package relay

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/advice"
	"gentianstand/internal/runner"
)

// Server carries out the requests of owners with this instance's own connections to
// workers.
type Server struct {
	workers runner.Client
	adviser advice.Adviser
	log     logrus.FieldLogger

	mu sync.Mutex
	// highestTerm is the highestTerm term known, and heardAt when its owner was heard last.
	highestTerm uint64
	ownerSeenAt time.Time
	sessions    map[*session]struct{}
	leaving     bool
	// handlers are the calls of ServeHTTP; those that begin after leaving is set have
	// nothing to end.
	handlers sync.WaitGroup
}

// NewServer returns a server that reaches workers and the adviser through clients.
func NewServer(workers runner.Client, adviser advice.Adviser, log logrus.FieldLogger) *Server {
	return &Server{workers: workers, adviser: adviser, log: log, sessions: map[*session]struct{}{}}
}

// ServeHTTP takes a link over from HTTP. It implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != protocol {
		http.Error(w, "this address takes links of other instances", http.StatusUpgradeRequired)
		return
	}
	if !s.beginHandler() {
		http.Error(w, "this instance is stopping", http.StatusServiceUnavailable)
		return
	}
	defer s.handlers.Done()
	conn, err := hijack(w)
	if err != nil {
		s.log.WithField("from", r.RemoteAddr).WithError(err).Info("relay_link_refused")
		if conn != nil {
			_ = conn.Close() // its far end has not been told of a link
		}
		return
	}
	defer conn.Close()
	one := newSession(conn, s)
	if !s.add(one) {
		return
	}
	defer s.remove(one)
	s.log.WithField("from", r.RemoteAddr).Info("relay_link_taken")
	err = one.run(r.Context())
	s.log.WithFields(logrus.Fields{"from": r.RemoteAddr, "requests": one.requests, "overdue": one.overdue}).WithError(err).Info("relay_link_over")
}

// hijack answers the upgrade and returns the connection.
func hijack(w http.ResponseWriter) (net.Conn, error) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return conn, err
	}
	if _, err := buffered.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"); err != nil {
		return conn, err
	}
	return conn, buffered.Flush()
}

// Leave tells all owners that this instance is about to stop, so that they use other
// relays, and takes no more links.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for one := range s.sessions {
		one.leave()
	}
}

// Close ends all links, and returns when nothing of them is under way, so that no order is
// on its way when the instance says that it has stopped. Leave should be called some time
// before.
func (s *Server) Close() {
	s.closeSessions()
	s.handlers.Wait()
}

func (s *Server) closeSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for one := range s.sessions {
		_ = one.conn.Close() // its owner knows by Leave
	}
}

// beginHandler counts a handler, unless this instance is stopping.
func (s *Server) beginHandler() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		s.handlers.Add(1)
	}
	return !s.leaving
}

func (s *Server) add(one *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		s.sessions[one] = struct{}{}
	}
	return !s.leaving
}

func (s *Server) remove(one *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, one)
}

// admits reports whether no owner with a higher token has been heard of: workers would
// refuse the call, too, one after the other.
func (s *Server) admits(token uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token < s.highestTerm {
		return false
	}
	s.highestTerm, s.ownerSeenAt = token, time.Now()
	return true
}

// Learned takes in that there is an owner of a term: orders of earlier ones are refused
// from now on.
func (s *Server) Learned(term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term > s.highestTerm {
		s.highestTerm, s.ownerSeenAt = term, time.Time{}
	}
}

// HeardOwner returns when the owner of a term last made a request here, or the zero time.
func (s *Server) HeardOwner(term uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term != s.highestTerm {
		return time.Time{}
	}
	return s.ownerSeenAt
}
