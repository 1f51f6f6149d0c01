//go:build review

package rig

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Store is a stand-in of the platform's store, as PROTOCOL.md describes it. Other than the project's own
// it stays fast with very many rows.
type Store struct {
	// Down makes calls fail: 0 none, 1 with status 503, 2 without an answer.
	Down atomic.Int32
	// Reads and Writes count the calls.
	Reads, Writes atomic.Int64

	mu      sync.Mutex
	parts   map[partKey]*part
	version uint64
	log     []row
	changed chan struct{}
}

type partKey struct{ table, part string }

// part is one partition of a table: its rows by key, and the keys in order.
type part struct {
	rows map[string]row
	keys []string
}

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type page struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Ver     uint64 `json:"ver"`
	NowMS   int64  `json:"now_ms"`
}

type transaction struct {
	Precondition []row `json:"precondition"`
	Puts         []row `json:"puts"`
	Remove       []row `json:"remove"`
}

// The properties of the store of the small sites.
const (
	storeAnswer = 4 * time.Millisecond
	pageRows    = 500
	pageBytes   = 1_000_000
	maxEntries  = 100
	maxTxBytes  = 1_000_000
	maxRowBytes = 65_536
	// historyRows bounds the history of changes.
	historyRows = 20_000
)

// firstVersion is the version of a new store. Rows of earlier times have lower ones; see Past.
const firstVersion = 10_000_000

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{parts: map[partKey]*part{}, version: firstVersion, changed: make(chan struct{})}
}

// Put writes a row as the operator or a worker does.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutRow(table, "", key, data)
}

// PutRow writes a row.
func (s *Store) PutRow(table, partition, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Puts: []row{{Table: table, Part: partition, Key: key, Value: base64.StdEncoding.EncodeToString(value)}}})
}

// Past holds rows that were written before the history of changes begins, so that feeds do not return
// them.
type Past struct{ parts map[partKey]*part }

// NewPast returns a Past without rows.
func NewPast() *Past { return &Past{parts: map[partKey]*part{}} }

// pastVersion is the version of rows of the past.
const pastVersion = 1

// Put adds a row.
func (p *Past) Put(table, partition, key string, value []byte) {
	k := partKey{table, partition}
	if p.parts[k] == nil {
		p.parts[k] = &part{rows: map[string]row{}}
	}
	p.parts[k].keys = append(p.parts[k].keys, key)
	p.parts[k].rows[key] = row{Table: table, Part: partition, Key: key, Value: base64.StdEncoding.EncodeToString(value), Ver: pastVersion}
}

// Sort prepares the rows for Add.
func (p *Past) Sort() {
	for _, one := range p.parts {
		sort.Strings(one.keys)
	}
}

// Add adds the rows of a past, which must be sorted, to the store. The store answers meanwhile.
func (s *Store) Add(past *Past) {
	for k, p := range past.parts {
		s.mu.Lock()
		present := s.part(k.table, k.part)
		p.keys = merge(p.keys, present.keys)
		for key, r := range present.rows {
			p.rows[key] = r
		}
		s.parts[k] = p
		s.mu.Unlock()
	}
}

// merge merges two sorted lists.
func merge(a, b []string) []string {
	merged := make([]string, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0] < b[0] {
			merged, a = append(merged, a[0]), a[1:]
		} else {
			merged, b = append(merged, b[0]), b[1:]
		}
	}
	return append(append(merged, a...), b...)
}

// Remove removes a row as the operator or a worker does.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Remove: []row{{Table: table, Key: key}}})
}

// Rows returns the number of rows of a table.
func (s *Store) Rows(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k, p := range s.parts {
		if k.table == table {
			n += len(p.rows)
		}
	}
	return n
}

func (s *Store) part(table, name string) *part {
	k := partKey{table, name}
	if s.parts[k] == nil {
		s.parts[k] = &part{rows: map[string]row{}}
	}
	return s.parts[k]
}

// apply carries out a transaction without its preconditions. The caller holds s.mu.
func (s *Store) apply(t transaction) {
	s.version++
	for _, r := range t.Puts {
		r.Ver = s.version
		p := s.part(r.Table, r.Part)
		if _, exists := p.rows[r.Key]; !exists {
			p.keys = slices.Insert(p.keys, sort.SearchStrings(p.keys, r.Key), r.Key)
		}
		p.rows[r.Key] = r
		s.log = append(s.log, r)
	}
	for _, r := range t.Remove {
		p := s.part(r.Table, r.Part)
		if _, exists := p.rows[r.Key]; !exists {
			continue
		}
		delete(p.rows, r.Key)
		at := sort.SearchStrings(p.keys, r.Key)
		p.keys = slices.Delete(p.keys, at, at+1)
		s.log = append(s.log, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.version, Tombstone: true})
	}
	if len(s.log) > 2*historyRows {
		s.log = append([]row(nil), s.log[len(s.log)-historyRows:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch s.Down.Load() {
	case 1:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case 2:
		<-r.Context().Done()
		return
	}
	time.Sleep(storeAnswer)
	switch r.URL.Path {
	case "/rows-tx":
		s.Writes.Add(1)
		s.serveTx(w, r)
	case "/rows-get":
		s.Reads.Add(1)
		s.serveGet(w, r)
	case "/rows-feed":
		s.Reads.Add(1)
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveTx(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	tooLarge := r.ContentLength > maxTxBytes || len(t.Precondition)+len(t.Puts)+len(t.Remove) > maxEntries
	for _, p := range t.Puts {
		tooLarge = tooLarge || base64.StdEncoding.DecodedLen(len(p.Value)) > maxRowBytes+2
	}
	if tooLarge {
		http.Error(w, "too large", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := page{Rows: []row{}, Ver: s.version, NowMS: time.Now().UnixMilli()}
	holds := true
	for _, want := range t.Precondition {
		got, exists := s.part(want.Table, want.Part).rows[want.Key]
		if !exists {
			got = row{Table: want.Table, Part: want.Part, Key: want.Key}
		}
		holds = holds && got.Ver == want.Ver
		answer.Rows = append(answer.Rows, got)
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, answer)
		return
	}
	s.apply(t)
	writeJSON(w, http.StatusOK, page{Rows: []row{}, Ver: s.version, NowMS: time.Now().UnixMilli()})
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.mu.Lock()
	answer := page{Rows: []row{}, Ver: s.version, NowMS: time.Now().UnixMilli()}
	p := s.part(q.Get("table"), q.Get("part"))
	bytes := 0
	for at := sort.SearchStrings(p.keys, q.Get("from")); at < len(p.keys); at++ {
		if q.Has("target") && p.keys[at] >= q.Get("target") {
			break
		}
		found := p.rows[p.keys[at]]
		bytes += len(found.Value) + len(found.Key)
		if len(answer.Rows) == limit || bytes > pageBytes && len(answer.Rows) > 0 {
			answer.HasMore = true
			break
		}
		answer.Rows = append(answer.Rows, found)
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		answer, gone, changed := s.since(q.Get("table"), after)
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(answer.Rows) > 0 || wait == 0:
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the newest state of the rows of a table that changed after a version, in the order of
// their changes, and whether that part of the history is gone.
func (s *Store) since(table string, after uint64) (answer page, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer = page{Rows: []row{}, Ver: s.version, NowMS: time.Now().UnixMilli()}
	if after < firstVersion || after < s.version && (len(s.log) == 0 || s.log[0].Ver > after+1) {
		return answer, true, s.changed
	}
	at := sort.Search(len(s.log), func(i int) bool { return s.log[i].Ver > after })
	for _, r := range s.log[at:] {
		if r.Table != table {
			continue
		}
		if len(answer.Rows) >= pageRows && r.Ver != answer.Rows[len(answer.Rows)-1].Ver {
			answer.HasMore, answer.Ver = true, answer.Rows[len(answer.Rows)-1].Ver
			break
		}
		answer.Rows = append(answer.Rows, r)
	}
	return answer, false, s.changed
}
