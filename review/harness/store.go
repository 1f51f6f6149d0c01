//go:build review

package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"

	"gentianstand/platform/standin"
)

// The limits of the platform's store, as the settings and PROTOCOL.md state them.
const (
	rowBytes   = 65536
	maxEntries = 100
	maxTxBytes = 1 << 20
)

// Store is the project's stand-in of the store, with the limits of the store on transactions.
type Store struct {
	*standin.Store
	record *Record
}

// NewStore returns an empty store.
func NewStore(r *Record) *Store { return &Store{standin.NewStore(), r} }

type txEntry struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

type txBody struct {
	Precondition []txEntry `json:"precondition"`
	Puts         []txEntry `json:"puts"`
	Remove       []txEntry `json:"remove"`
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/rows-tx" {
		s.Store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := checkLimits(body); err != nil {
		s.record.Add("store: 400 to a transaction of %d bytes: %v", len(body), err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.Store.ServeHTTP(w, r)
}

// checkLimits returns an error for a transaction that exceeds a limit of the store. The size of a
// value is that of its bytes before base64, the more lenient reading.
func checkLimits(body []byte) error {
	if len(body) > maxTxBytes*3/2 {
		return fmt.Errorf("%d bytes", len(body))
	}
	var tx txBody
	if err := json.Unmarshal(body, &tx); err != nil {
		return err
	}
	if n := len(tx.Precondition) + len(tx.Puts) + len(tx.Remove); n > maxEntries {
		return fmt.Errorf("%d entries; at most %d", n, maxEntries)
	}
	for _, p := range tx.Puts {
		if len(p.Value) > rowBytes {
			return fmt.Errorf("value of %s/%s has %d bytes; at most %d", p.Table, p.Key, len(p.Value), rowBytes)
		}
	}
	return nil
}

// Value returns the value of a row as the store encodes it, or an empty text if there is no such row.
func (s *Store) Value(table, key string) string {
	answered := httptest.NewRecorder()
	q := url.Values{"table": {table}, "part": {""}, "from": {key}, "target": {key + "\x00"}}
	s.Store.ServeHTTP(answered, httptest.NewRequest(http.MethodGet, "/rows-get?"+q.Encode(), nil))
	var page struct {
		Rows []struct {
			Value string `json:"value"`
		} `json:"rows"`
	}
	if json.Unmarshal(answered.Body.Bytes(), &page) != nil || len(page.Rows) == 0 {
		return ""
	}
	return page.Rows[0].Value
}
