package relay

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/advice"
	"gentianstand/internal/runner"
)

// Server carries out the requests of owners over this instance's own connections to
// workers. It is safe for concurrent use.
type Server struct {
	workers runner.Client
	adviser advice.Adviser
	log     logrus.FieldLogger

	mu sync.Mutex
	// highestTerm is the highest known term, and ownerSeenAt when its owner last made a
	// request.
	highestTerm uint64
	ownerSeenAt time.Time
	sessions    map[*session]struct{}
	leaving     bool
	// handlers counts the running ServeHTTP calls that were admitted before leaving was
	// set.
	handlers sync.WaitGroup
}

// NewServer returns a server that uses the given clients for workers and the adviser.
func NewServer(workers runner.Client, adviser advice.Adviser, log logrus.FieldLogger) *Server {
	return &Server{workers: workers, adviser: adviser, log: log, sessions: map[*session]struct{}{}}
}

// ServeHTTP upgrades an HTTP request to a link and serves the link until it ends. It
// implements http.Handler.
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
			_ = conn.Close() // the peer has not received the upgrade response
		}
		return
	}
	defer conn.Close()
	link := newSession(conn, s)
	link.readsRepeatedEnds = slices.Contains(r.Header.Values(featuresHeader), repeatedEnds)
	if !s.add(link) {
		return
	}
	defer s.remove(link)
	s.log.WithField("from", r.RemoteAddr).Info("relay_link_taken")
	err = link.run(r.Context())
	s.log.WithFields(logrus.Fields{"from": r.RemoteAddr, "requests": link.requests, "overdue": link.overdue}).WithError(err).Info("relay_link_over")
}

// hijack answers the upgrade request and returns the connection.
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

// Leave announces to all owners that this instance is about to stop, so that they use other
// relays. No more links are accepted.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for link := range s.sessions {
		link.leave()
	}
}

// Close ends all links and waits until none of their calls is in progress, so that no order
// is in flight once the instance reports that it has stopped. Call Leave some time before.
func (s *Server) Close() {
	s.closeSessions()
	s.handlers.Wait()
}

// closeSessions closes the connections of all links.
func (s *Server) closeSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for link := range s.sessions {
		_ = link.conn.Close() // Leave has announced it to the owner
	}
}

// beginHandler counts a handler, and returns false if this instance is stopping.
func (s *Server) beginHandler() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		s.handlers.Add(1)
	}
	return !s.leaving
}

// add registers a session, and returns false if this instance is stopping.
func (s *Server) add(link *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		s.sessions[link] = struct{}{}
	}
	return !s.leaving
}

func (s *Server) remove(link *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, link)
}

// admits reports whether no higher token is known. Workers would refuse such a call, too,
// but each one separately.
func (s *Server) admits(token uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token < s.highestTerm {
		return false
	}
	s.highestTerm, s.ownerSeenAt = token, time.Now()
	return true
}

// ObserveTerm records that an owner of the term exists. Orders of earlier terms are refused
// from then on.
func (s *Server) ObserveTerm(term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term > s.highestTerm {
		s.highestTerm, s.ownerSeenAt = term, time.Time{}
	}
}

// OwnerLastSeen returns when the owner of a term last made a request here, or the zero time.
func (s *Server) OwnerLastSeen(term uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term != s.highestTerm {
		return time.Time{}
	}
	return s.ownerSeenAt
}
