package cellpeer

import (
	"context"
	"sync"
	"time"

	"gentianstand/internal/cellpeer/cellpb"
)

const (
	// searchSample is how many instances one search asks. If some of the instances have
	// access to the store, few searches miss them all, and the next one follows within
	// resultMaxAge. Asking every instance of a large site for each submission would
	// overload them in an outage.
	searchSample = 8
	// searchTimeout bounds a search. Calls between instances take 3 ms, some 10 ms on a
	// busy instance; a dead instance never answers.
	searchTimeout = 150 * time.Millisecond
	// resultMaxAge is how long the result of a search is used without another search.
	resultMaxAge = 250 * time.Millisecond
	// negativeResultMaxAge is how long a negative result is still returned while the next
	// search is in progress.
	negativeResultMaxAge = time.Second
)

// StoreFinder finds an instance that has access to the store, for an instance that has
// none. In an outage every submission needs this answer. Searches are therefore shared, and
// after a negative result a refusal does not wait for the next search. StoreFinder is safe
// for concurrent use.
type StoreFinder struct {
	directory *Directory
	clients   *Clients

	mu sync.Mutex
	// found is the result of the last search; its name is empty if the search found no
	// instance.
	found Instance
	// endedAt is when the last search ended, or zero.
	endedAt time.Time
	// searching is closed when the current search ends; nil if there is none.
	searching chan struct{}
}

// NewStoreFinder returns a finder that searches the instances of a directory.
func NewStoreFinder(d *Directory, c *Clients) *StoreFinder {
	return &StoreFinder{directory: d, clients: c}
}

// Find returns an instance that has access to the store; ok is false if none is known.
func (f *StoreFinder) Find(ctx context.Context) (instance Instance, ok bool) {
	search, known := f.refresh(time.Now())
	if !known {
		select {
		case <-search:
		case <-ctx.Done():
			return Instance{}, false
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.found, f.found.Name != ""
}

// refresh starts a search if the last one is too old. known reports whether the last result
// can be used until the search ends.
func (f *StoreFinder) refresh(now time.Time) (search <-chan struct{}, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := now.Sub(f.endedAt)
	if age < resultMaxAge {
		return nil, true
	}
	if f.searching == nil {
		f.searching = make(chan struct{})
		go f.search(f.searching)
	}
	return f.searching, f.found.Name == "" && age < negativeResultMaxAge
}

// search runs one search, stores its result and closes ended.
func (f *StoreFinder) search(ended chan struct{}) {
	found := f.pingSample()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.found, f.endedAt, f.searching = found, time.Now(), nil
	close(ended)
}

// pingSample pings a sample of instances and returns the first that has access to the
// store.
func (f *StoreFinder) pingSample() Instance {
	ctx, cancel := context.WithTimeout(context.Background(), searchTimeout)
	defer cancel()
	some := f.directory.Sample(searchSample)
	for answer := range f.clients.PingAll(ctx, some, &cellpb.PingRequest{From: f.directory.Self().Name}) {
		if answer.Reply.GetStoreOk() && !answer.Reply.GetStopping() {
			return answer.Instance
		}
	}
	return Instance{}
}
