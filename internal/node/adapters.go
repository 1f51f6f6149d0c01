package node

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/access"
	"gentianstand/internal/advice"
	"gentianstand/internal/catalog"
	"gentianstand/internal/intake"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
	"gentianstand/internal/store"
	"gentianstand/internal/upkeep"
)

// Adapters connect an instance to callers, workers and the platform.
type Adapters struct {
	Store   store.Store
	Workers runner.Client
	Adviser advice.Adviser
	// Roster and Catalogs return sources that read from the given store.
	Roster   func(store.Store, logrus.FieldLogger) roster.Source
	Catalogs func(store.Store) catalog.Source
	// Waves returns a source that reads from the given store. Fleet is nil on platforms
	// without an interface for machine maintenance.
	Waves func(store.Store, logrus.FieldLogger) upkeep.Source
	Fleet upkeep.Fleet
	// Callers returns the handler for the address that callers use.
	Callers func(*intake.Intake, *access.Gate, logrus.FieldLogger) http.Handler
}
