package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// traffic sends requests in the background and records every answer.
type traffic struct {
	quit    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	answers []answer
	errors  []error
}

// sendTraffic sends GET requests through the given instances in turn, from several concurrent
// senders, until stop is called.
func (s *cluster) sendTraffic(through []*node, senders int) *traffic {
	tr := &traffic{quit: make(chan struct{})}
	for n := range senders {
		tr.wg.Go(func() {
			for i := n; ; i++ {
				select {
				case <-tr.quit:
					return
				case <-time.After(5 * time.Millisecond):
				}
				path := fmt.Sprintf("casedesk/%d-%d", n, i)
				a, err := s.request(through[i%len(through)], http.MethodGet, path, "")
				tr.note(path, a, err)
			}
		})
	}
	return tr
}

func (tr *traffic) note(path string, a answer, err error) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if err != nil {
		tr.errors = append(tr.errors, fmt.Errorf("%s: %w", path, err))
		return
	}
	a.header = http.Header{"Path": {path}}
	tr.answers = append(tr.answers, a)
}

// count returns the number of requests with status 200, with another status, and without an
// answer.
func (tr *traffic) count() (ok, refused, broken int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, a := range tr.answers {
		if a.status == http.StatusOK {
			ok++
		} else {
			refused++
		}
	}
	return ok, refused, len(tr.errors)
}

// stop stops the senders and checks that every answer belongs to its request and that every
// refusal has a kind and an outcome.
func (tr *traffic) stop(s *cluster) (ok, refused, broken int) {
	s.t.Helper()
	close(tr.quit)
	tr.wg.Wait()
	for _, a := range tr.answers {
		path := a.header.Get("Path")
		want := "GET " + path[len("casedesk/"):] + " from worker-"
		if a.status == http.StatusOK && (len(a.body) < len(want) || a.body[:len(want)] != want) {
			s.t.Fatalf("request %s got the answer %q", path, a.body)
		}
		if a.status != http.StatusOK && (a.kind == "" || a.outcome == "") {
			s.t.Fatalf("request %s got status %d without kind or outcome: %s", path, a.status, a.body)
		}
	}
	return tr.count()
}
