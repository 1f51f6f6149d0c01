package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gentianstand/internal/catalog"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
)

const (
	// maxServedAge is how old a view may be to be passed on: what is left of its time serves
	// the instance that asked.
	maxServedAge = 500 * time.Millisecond
	// peerTimeout bounds one question to another instance, which may have to ask the store.
	peerTimeout = 400 * time.Millisecond
)

// errNoPeer says that the store serves no instance that this one reaches.
var errNoPeer = errors.New("the store serves no instance that can be reached")

// catalogPeers asks other instances for the newest configuration and answers them. It
// implements access.Confirmer and cellpeer.Catalogs.
type catalogPeers struct {
	reader  *catalogReader
	finder  *cellpeer.StoreFinder
	clients *cellpeer.Clients
}

// Confirm implements access.Confirmer.
func (p *catalogPeers) Confirm(ctx context.Context) error {
	peer, ok := p.finder.Find(ctx)
	if !ok {
		return errNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	known := uint64(0)
	if c := p.reader.current.Get(); c != nil {
		known = c.Version
	}
	asked := p.reader.now()
	reply, err := p.clients.To(peer.Address).NewestCatalog(ctx, &cellpb.NewestCatalogRequest{Version: known})
	if err != nil {
		return fmt.Errorf("instance %s: %w", peer.Name, err)
	}
	if len(reply.Catalog) > 0 {
		next, err := catalog.Decode(reply.Catalog)
		if err != nil {
			return fmt.Errorf("instance %s: %w", peer.Name, err)
		}
		p.reader.install(next)
	}
	// The answer's age counts from before the question: the way takes time, too.
	p.reader.current.Confirm(asked.Add(-time.Duration(reply.AgeMicros) * time.Microsecond))
	return nil
}

// Newest implements cellpeer.Catalogs.
func (p *catalogPeers) Newest(ctx context.Context) (*catalog.Catalog, time.Duration, error) {
	view := p.reader.current.View()
	if view.Catalog == nil || view.Age(p.reader.now()) > maxServedAge {
		if err := p.reader.read(ctx, 0); err != nil {
			return nil, 0, err
		}
		view = p.reader.current.View()
	}
	if view.Catalog == nil {
		return nil, 0, errors.New("there is no configuration")
	}
	return view.Catalog, view.Age(p.reader.now()), nil
}
