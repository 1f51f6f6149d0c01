package node

import (
	"github.com/sirupsen/logrus"

	"gentianstand/internal/cell"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/relay"
	"gentianstand/internal/runner"
)

// relays holds both ends of the links between an owner and its relays: Server is this instance
// in the role of a relay, Pool in the role of an owner. It implements cellleader.Links.
type relays struct {
	*relay.Server
	*relay.Pool
	workers runner.Client
	// direct is set if an owner calls workers and the adviser without relays.
	direct bool
}

func newRelays(s Settings, o Adapters, d *cellpeer.Directory, log *logrus.Entry) *relays {
	return &relays{
		Server: relay.NewServer(o.Workers, o.Adviser, log), Pool: relay.NewPool(d, o.Workers, log),
		workers: o.Workers, direct: s.Disabled.Has(cell.Relays),
	}
}

// runner returns the client that an owner uses for workers.
func (r *relays) runner() runner.Client {
	if r.direct {
		return r.workers
	}
	return r.Pool
}

// advice returns the links through which an owner calls the adviser, or nil if it uses RPCs to
// other instances instead.
func (r *relays) advice() cellpeer.AdviceLinks {
	if r.direct {
		return nil
	}
	return r.Pool
}
