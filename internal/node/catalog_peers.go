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
	// maxServedAge is the maximum age of a view that is sent to another instance without a
	// new read of the store. The other instance uses the view for the rest of its
	// permitted age.
	maxServedAge = 500 * time.Millisecond
	// peerTimeout bounds one call to another instance, which may have to read the store first.
	peerTimeout = 400 * time.Millisecond
)

// errNoPeer is returned when no reachable instance has access to the store.
var errNoPeer = errors.New("no reachable instance has access to the store")

// catalogPeers exchanges the newest configuration with other instances. It implements
// access.Confirmer for this instance and cellpeer.Catalogs for the others.
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
	startedAt := p.reader.now()
	reply, err := p.clients.To(peer.Address).NewestCatalog(ctx, &cellpb.NewestCatalogRequest{Version: known})
	if err != nil {
		return fmt.Errorf("newest catalog of instance %s: %w", peer.Name, err)
	}
	if len(reply.Catalog) > 0 {
		next, err := catalog.Decode(reply.Catalog)
		if err != nil {
			return fmt.Errorf("newest catalog of instance %s: %w", peer.Name, err)
		}
		p.reader.install(next)
	}
	// The age in the reply counts from before the request was sent, because the transfer
	// takes time, too.
	p.reader.current.Confirm(startedAt.Add(-time.Duration(reply.AgeMicros) * time.Microsecond))
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
		return nil, 0, errors.New("no configuration is in force")
	}
	return view.Catalog, view.Age(p.reader.now()), nil
}
