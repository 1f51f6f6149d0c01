package admission

import "gentianstand/internal/resource"

// Load is the capacity of a service's workers without what long-running tasks occupy.
type Load struct {
	Service  string
	Capacity resource.Amount
}
