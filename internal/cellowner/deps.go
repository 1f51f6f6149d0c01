package cellowner

import (
	"github.com/sirupsen/logrus"

	"gentianstand/internal/catalog"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
	"gentianstand/internal/store"
)

// Deps holds the dependencies of an Owner.
type Deps struct {
	Store    store.Store
	Jobs     *celljobs.Jobs
	Roster   roster.Source
	Runner   runner.Client
	Advisers Advisers
	// Catalog returns the configuration in force, or nil before one is known.
	Catalog     func() *catalog.Catalog
	Maintenance MaintenanceDeps
	Leadership  Leadership
	Metrics     *Metrics
	// AcrossPartitions is true if the store supports transactions over several partitions.
	AcrossPartitions bool
	Log              logrus.FieldLogger
}
