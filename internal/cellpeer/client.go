package cellpeer

import (
	"net/http"
	"sync"
	"time"

	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/httpclient"
	"gentianstand/internal/traffic"
)

const (
	// dialTimeout bounds the opening of a connection to another instance, 1 ms away.
	dialTimeout = 400 * time.Millisecond
	// idleConnections is how many idle connections to one instance are kept.
	idleConnections = 4
)

// Clients caches a client per instance address, each with its own connections. It is safe
// for concurrent use.
type Clients struct {
	newClient func(address string) *client
	mu        sync.Mutex
	byAddress map[string]*client
}

// client is the client for one address.
type client struct {
	cellpb.Cells
	closeIdle func()
}

// NewClients returns an empty set of clients.
func NewClients() *Clients {
	return &Clients{newClient: newHTTPClient, byAddress: map[string]*client{}}
}

// NewClientsOver returns an empty set of clients that reach an address by the calls that to returns.
func NewClientsOver(to func(address string) cellpb.Cells) *Clients {
	newClient := func(address string) *client { return &client{Cells: to(address), closeIdle: func() {}} }
	return &Clients{newClient: newClient, byAddress: map[string]*client{}}
}

func newHTTPClient(address string) *client {
	transport := httpclient.NewTransport(traffic.Peers, dialTimeout, idleConnections)
	return &client{
		Cells:     cellpb.NewCellsProtobufClient("http://"+address, &http.Client{Transport: transport}),
		closeIdle: transport.CloseIdleConnections,
	}
}

// To returns the client for an address.
func (c *Clients) To(address string) cellpb.Cells { return c.get(address) }

// CloseIdle closes the idle connections to an address. A connection can become permanently
// unresponsive while new ones work. After a call without an answer, the other idle
// connections may be unresponsive, too, and each would cost a timeout.
func (c *Clients) CloseIdle(address string) { c.get(address).closeIdle() }

// get returns the client for an address, and creates it if necessary.
func (c *Clients) get(address string) *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found := c.byAddress[address]; found != nil {
		return found
	}
	made := c.newClient(address)
	c.byAddress[address] = made
	return made
}
