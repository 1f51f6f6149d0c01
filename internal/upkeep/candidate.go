package upkeep

// candidate is a machine that may be emptied next.
type candidate struct {
	machine, worker string
	runs            int
}
