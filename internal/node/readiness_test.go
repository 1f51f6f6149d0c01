package node

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gentianstand/internal/catalog"
)

func TestReadiness(t *testing.T) {
	for _, test := range []struct {
		name            string
		known, stopping bool
		want            int
	}{
		{"no configuration yet", false, false, http.StatusServiceUnavailable},
		{"configuration in force", true, false, http.StatusOK},
		{"stopping", true, true, http.StatusServiceUnavailable},
	} {
		r := readiness{&catalog.Current{}, &atomic.Bool{}}
		r.stopping.Store(test.stopping)
		if test.known {
			r.current.Advance(catalog.New(catalog.Content{Version: 1}))
		}
		answer := httptest.NewRecorder()
		r.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/ready", nil))
		if answer.Code != test.want {
			t.Errorf("%s: %d, want %d", test.name, answer.Code, test.want)
		}
	}
}

// Guards against callers whose open connection is reset by a planned stop.
func TestStoppingInstanceClosesItsConnectionsWithTheAnswer(t *testing.T) {
	stopping := &atomic.Bool{}
	handler := connectionCloser{http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), stopping}
	for _, want := range []string{"", "close"} {
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/", nil))
		if got := answer.Header().Get("Connection"); got != want {
			t.Errorf("Connection %q, want %q", got, want)
		}
		stopping.Store(true)
	}
}
