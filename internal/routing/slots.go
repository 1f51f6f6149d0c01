package routing

// Slots is the number of slots of a service at one instance.
type Slots struct {
	Free  int
	Total int
}
