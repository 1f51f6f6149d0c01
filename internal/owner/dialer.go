package owner

import "gentianstand/internal/worker"

// Dialer returns the agent at a worker's address.
type Dialer func(address string) worker.Agent
