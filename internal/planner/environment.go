package planner

import (
	"gentianstand/internal/config"
	"gentianstand/internal/live"
	"gentianstand/internal/platform"
)

// Environment gives the planner access to state outside the Core.
type Environment struct {
	// View returns the watched rows as last read.
	View func() live.View
	// Directory returns the platform's list of instances as last read.
	Directory func() []platform.Instance
	// Config is the configuration in force on this instance.
	Config *config.Current
}
