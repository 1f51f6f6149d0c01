package upkeep

// candidate is a machine whose worker may be evacuated next.
type candidate struct {
	machine, worker string
	runs            int
}
