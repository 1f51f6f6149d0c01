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

// Deps is what a Server works with.
type Deps struct {
	Identity ownership.Identity
	Router   *routing.Router
	Hub      *peer.Hub
	Config   *config.Current
	Store    *config.Store
	Trail    *audit.Trail
	Table    platform.Table
	Register *idempotency.Registry
	Runs     Runs
	View     func() live.View
	Ready    func() error
	// LargestWorker returns the most of each dimension that any worker known here
	// has; zero if none is known.
	LargestWorker func() resource.Amount
	// RowsChanged is called after this instance wrote a watched row.
	RowsChanged func()
	// Token, if not empty, must come with operators' calls.
	Token   string
	Metrics *metrics.Set
	Log     *logrus.Entry
}
