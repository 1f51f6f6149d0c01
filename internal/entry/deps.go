package entry

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/audit"
	"gentianstand/internal/config"
	"gentianstand/internal/idempotency"
	"gentianstand/internal/live"
	"gentianstand/internal/ownership"
	"gentianstand/internal/peer"
	"gentianstand/internal/platform"
	"gentianstand/internal/resource"
	"gentianstand/internal/routing"
)

// Deps are the dependencies of a Server.
type Deps struct {
	Identity ownership.Identity
	Router   *routing.Router
	Hub      *peer.Hub
	Config   *config.Current
	Store    *config.Store
	Trail    *audit.Trail
	Table    platform.Table
	Registry *idempotency.Registry
	Runs     Runs
	View     func() live.View
	Ready    func() error
	// LargestWorker returns, for each dimension, the maximum over all workers known to this
	// instance; zero if it knows none.
	LargestWorker func() resource.Amount
	// RowsChanged is called after this instance has written a watched row.
	RowsChanged func()
	// Token, if not empty, is the bearer token that operators' requests must carry.
	Token   string
	Metrics *metrics.Set
	Log     *logrus.Entry
}
