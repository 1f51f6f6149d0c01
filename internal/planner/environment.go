package planner

import (
	"gentianstand/internal/config"
	"gentianstand/internal/live"
	"gentianstand/internal/platform"
)

// Environment is what a planner looks at besides its own state.
type Environment struct {
	// View returns the watched rows as last read.
	View func() live.View
	// Directory returns the platform's list as last read.
	Directory func() []platform.Instance
	// Config is the configuration in force here.
	Config *config.Current
}
