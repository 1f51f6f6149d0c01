package cellpeer

import (
	"context"
	"sync"
	"time"

	"gentianstand/internal/cellpeer/cellpb"
)

const (
	// searchSample is how many instances one search asks. If the store serves some of the
	// instances, few searches miss them all, and the next follows within findFresh; asking
	// all of a large site for each submission would load them in an outage.
	searchSample = 8
	// searchTimeout bounds a search. Calls between instances take 3 ms, on a busy
	// instance some ten; one that is dead never answers.
	searchTimeout = 150 * time.Millisecond
	// resultMaxAge is how long the result of a search is used as it is.
	resultMaxAge = 250 * time.Millisecond
	// negativeResultMaxAge is how long the result that the store serves nobody is still given,
	// while the next search is under way.
	negativeResultMaxAge = time.Second
)

// StoreFinder finds an instance that the store serves, for one that it does not serve. In
// an outage every submission needs this answer, so searches are shared, and a refusal does
// not wait for one if the search before found nobody. It is safe for concurrent use.
type StoreFinder struct {
	directory *Directory
	clients   *Clients

	mu sync.Mutex
	// found is the result of the last search; its name is empty for nobody.
	found Instance
	// endedAt is when the last search ended, or zero.
	endedAt time.Time
	// searching is closed when the search under way ends; nil if there is none.
	searching chan struct{}
}

// NewStoreFinder returns a finder among the instances of a directory.
func NewStoreFinder(d *Directory, c *Clients) *StoreFinder {
	return &StoreFinder{directory: d, clients: c}
}

// Find returns an instance that the store serves; ok is false if none is known.
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

// refresh begins a search if the last one is too old, and reports whether the last
// result will do until it ends.
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

func (f *StoreFinder) search(ended chan struct{}) {
	found := f.pingSample()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.found, f.endedAt, f.searching = found, time.Now(), nil
	close(ended)
}

// pingSample asks some instances and returns the first that the store serves.
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
