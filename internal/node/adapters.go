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

// Adapters is everything that speaks to callers, workers and the platform.
type Adapters struct {
	Store   store.Store
	Workers runner.Client
	Adviser advice.Adviser
	// Roster and Catalogs read from the store that they are given.
	Roster   func(store.Store, logrus.FieldLogger) roster.Source
	Catalogs func(store.Store) catalog.Source
	// Waves reads from the store that it is given; Fleet is nil where the platform
	// has no machines to order about.
	Waves func(store.Store, logrus.FieldLogger) upkeep.Source
	Fleet upkeep.Fleet
	// Callers is the handler of the callers' address.
	Callers func(*intake.Intake, *access.Gate, logrus.FieldLogger) http.Handler
}
