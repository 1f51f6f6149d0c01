package owner

import "gentianstand/internal/worker"

// Dialer returns a client for the worker at an address.
type Dialer func(address string) worker.Agent
