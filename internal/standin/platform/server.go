package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"gentianstand/internal/platform"
	"gentianstand/internal/platform/httpwire"
)

// The control paths of the stand-in, which are not part of the platform's interface.
const (
	PathFault    = "/standin/fault"
	PathInstance = "/standin/instance"
	PathCounts   = "/standin/counts"
)

// Server serves a FaultyStore over the platform's HTTP interface.
type Server struct {
	store  *Store
	faulty *FaultyStore
}

// NewServer returns a server for faulty, which wraps store.
func NewServer(store *Store, faulty *FaultyStore) *Server {
	return &Server{store: store, faulty: faulty}
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(httpwire.PathGet, s.get)
	mux.HandleFunc(httpwire.PathScan, s.scan)
	mux.HandleFunc(httpwire.PathCommit, s.commit)
	mux.HandleFunc(httpwire.PathObjects, s.object)
	mux.HandleFunc(httpwire.PathInstances, s.instances)
	mux.HandleFunc(PathFault, s.setFault)
	mux.HandleFunc(PathInstance, s.setInstance)
	mux.HandleFunc(PathCounts, s.countsNow)
	return mux
}

func (s *Server) view(r *http.Request) *FaultyStore {
	return s.faulty.ForClient(r.Header.Get(httpwire.HeaderClient))
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	var req httpwire.GetRequest
	if !decode(w, r, &req) {
		return
	}
	row, err := s.view(r).Get(r.Context(), req.Key)
	answer(w, row, err)
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	var req httpwire.ScanRequest
	if !decode(w, r, &req) {
		return
	}
	rows, err := s.view(r).Scan(r.Context(), req.Prefix, req.After, req.Limit)
	answer(w, rows, err)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var tx platform.Tx
	if !decode(w, r, &tx) {
		return
	}
	answer(w, struct{}{}, s.view(r).Commit(r.Context(), tx))
}

func (s *Server) object(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, httpwire.PathObjects)
	if r.Method == http.MethodPut {
		data, err := io.ReadAll(r.Body)
		if err == nil {
			err = s.view(r).PutObject(r.Context(), key, data)
		}
		answer(w, struct{}{}, err)
		return
	}
	data, err := s.view(r).GetObject(r.Context(), key)
	if err != nil {
		answer(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	list, err := s.view(r).Instances(r.Context())
	answer(w, list, err)
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if decode(w, r, &fault) {
		s.faulty.SetFault(fault)
		answer(w, fault, nil)
	}
}

func (s *Server) setInstance(w http.ResponseWriter, r *http.Request) {
	var inst platform.Instance
	if !decode(w, r, &inst) {
		return
	}
	if r.Method == http.MethodDelete {
		s.store.RemoveInstance(inst.ID)
	} else {
		s.store.SetInstance(inst)
	}
	answer(w, inst, nil)
}

func (s *Server) countsNow(w http.ResponseWriter, _ *http.Request) {
	answer(w, s.store.Counts(), nil)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(r.Body).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func answer(w http.ResponseWriter, body any, err error) {
	switch {
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	}
}
