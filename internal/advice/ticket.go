package advice

// Ticket is leave to start tasks of one stage on one worker.
type Ticket struct {
	Worker string
	Text   string
}
