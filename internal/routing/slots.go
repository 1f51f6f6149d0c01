package routing

// Slots counts the slots of a service at one instance.
type Slots struct {
	Free  int
	Total int
}
