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
	// dialTimeout bounds a new connection to another instance, 1 ms away.
	dialTimeout = 400 * time.Millisecond
	// idleConnections is how many connections to one instance are kept.
	idleConnections = 4
)

// Clients makes clients for other instances; each address has its own
// connections.
type Clients struct {
	mu        sync.Mutex
	byAddress map[string]*client
}

type client struct {
	cellpb.Cells
	transport *http.Transport
}

// NewClients returns an empty set of clients.
func NewClients() *Clients { return &Clients{byAddress: map[string]*client{}} }

// To returns the client for an address.
func (c *Clients) To(address string) cellpb.Cells { return c.get(address) }

// CloseIdle closes the idle connections to an address. Connections can go silent
// for good while new ones work; after one call without an answer, the others
// that are kept may be silent, too, and each would cost a timeout.
func (c *Clients) CloseIdle(address string) { c.get(address).transport.CloseIdleConnections() }

func (c *Clients) get(address string) *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found := c.byAddress[address]; found != nil {
		return found
	}
	transport := httpclient.NewTransport(traffic.Peers, dialTimeout, idleConnections)
	made := &client{
		Cells:     cellpb.NewCellsProtobufClient("http://"+address, &http.Client{Transport: transport}),
		transport: transport,
	}
	c.byAddress[address] = made
	return made
}
