package advice

// Ticket is a permit of the placement adviser to start tasks of one stage on one worker.
type Ticket struct {
	Worker string
	Text   string
}
