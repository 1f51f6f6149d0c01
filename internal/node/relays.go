package node

import (
	"github.com/sirupsen/logrus"

	"gentianstand/internal/cell"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/relay"
	"gentianstand/internal/runner"
)

// relays are the two ends of the links between an owner and its relays: Server is this
// instance as a relay, Pool this instance as an owner. It implements cellleader.Links.
type relays struct {
	*relay.Server
	*relay.Pool
	workers runner.Client
	// direct says that an owner reaches workers and the adviser without relays.
	direct bool
}

func newRelays(s Settings, o Adapters, d *cellpeer.Directory, log *logrus.Entry) *relays {
	return &relays{
		Server: relay.NewServer(o.Workers, o.Adviser, log), Pool: relay.NewPool(d, o.Workers, log),
		workers: o.Workers, direct: s.Disabled.Has(cell.Relays),
	}
}

// runner returns how an owner reaches workers.
func (r *relays) runner() runner.Client {
	if r.direct {
		return r.workers
	}
	return r.Pool
}

// advice returns how an owner asks the adviser through others, or nil for calls.
func (r *relays) advice() cellpeer.AdviceLinks {
	if r.direct {
		return nil
	}
	return r.Pool
}
