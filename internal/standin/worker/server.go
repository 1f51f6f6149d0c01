package worker

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gentianstand/internal/worker"
	"gentianstand/internal/worker/httpwire"
)

// The control paths of the stand-in, which are not part of the worker's interface.
const (
	PathFault   = "/standin/fault"
	PathRecord  = "/standin/record"
	PathRestart = "/standin/restart"
)

// Server serves a Worker over HTTP.
type Server struct {
	worker *Worker
	record *Record
}

// NewServer returns a server for w.
func NewServer(w *Worker, record *Record) *Server { return &Server{worker: w, record: record} }

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(httpwire.PathSync, s.sync)
	mux.HandleFunc(httpwire.PathRequests, s.ask)
	mux.HandleFunc(httpwire.PathServe, s.serve)
	mux.HandleFunc(PathFault, s.setFault)
	mux.HandleFunc(PathRecord, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.record.Events())
	})
	mux.HandleFunc(PathRestart, func(http.ResponseWriter, *http.Request) { s.worker.Restart() })
	return s.swallowSilenced(mux)
}

// swallowSilenced drops requests on silenced connections without answering them or closing
// the connection, like a network element that has lost its state.
func (s *Server) swallowSilenced(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.worker.isSilenced(r.RemoteAddr) {
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
}

// isSilenced registers the connection and reports whether it is silenced.
func (w *Worker) isSilenced(remote string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silenced == nil {
		w.silenced = map[string]bool{}
	}
	if _, seen := w.silenced[remote]; !seen {
		w.silenced[remote] = false
	}
	return w.silenced[remote]
}

// silenceConnections silences the connections known so far.
func (w *Worker) silenceConnections() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for remote := range w.silenced {
		w.silenced[remote] = true
	}
}

func (s *Server) sync(w http.ResponseWriter, r *http.Request) {
	var req worker.SyncRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply, err := s.worker.Sync(r.Context(), req)
	switch {
	case errors.Is(err, worker.ErrStaleEpoch):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, worker.ErrOutOfOrder):
		http.Error(w, err.Error(), http.StatusTooEarly)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		_ = json.NewEncoder(w).Encode(reply)
	}
}

func (s *Server) ask(w http.ResponseWriter, r *http.Request) {
	var ids []string
	if err := json.NewDecoder(r.Body).Decode(&ids); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	states, err := s.worker.QueryRequests(r.Context(), ids)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(states)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, httpwire.PathServe), "/")
	id := r.Header.Get(httpwire.HeaderRequest)
	epoch, _ := strconv.ParseUint(r.Header.Get(httpwire.HeaderEpoch), 10, 64)
	if refused := s.worker.admit(id, r.Header.Get("Idempotency-Key"), service, epoch); refused != "" {
		w.Header().Set(httpwire.HeaderRefused, refused)
		http.Error(w, refused, http.StatusServiceUnavailable)
		return
	}
	defer s.worker.release(id)
	if s.worker.currentFault().Nonsense {
		writeNonsense(w)
		return
	}
	if !s.work(r) {
		return
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("X-Served-By", s.worker.cfg.ID)
	fmt.Fprintf(w, "%s %s from %s\n", r.Method, path, s.worker.cfg.ID)
	_, _ = io.Copy(w, r.Body)
}

// work waits for the time to serve a request and reports whether to answer it.
func (s *Server) work(r *http.Request) bool {
	if s.worker.currentFault().Hang {
		<-r.Context().Done()
		return false
	}
	wait := s.worker.serveTime()
	if d, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		wait = d
	}
	if wait > 0 {
		time.Sleep(wait)
	}
	return true
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.SilenceConnections {
		s.worker.silenceConnections()
	}
	s.worker.SetFault(f)
}

func writeNonsense(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write([]byte("\x00\x01 this is no HTTP\r\n\r\n"))
	_ = conn.Close()
}
