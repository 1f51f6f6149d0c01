package node

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/advice"
	"gentianstand/internal/catalog"
	"gentianstand/internal/intake"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
	"gentianstand/internal/store"
)

// Outside is everything that speaks to callers, workers and the platform.
type Outside struct {
	Store   store.Store
	Workers runner.Client
	Adviser advice.Adviser
	// Roster and Catalogs read from the store that they are given.
	Roster   func(store.Store, logrus.FieldLogger) roster.Source
	Catalogs func(store.Store) catalog.Source
	// Callers is the handler of the callers' address.
	Callers func(*intake.Intake, *catalog.Current, logrus.FieldLogger) http.Handler
}
