package live

// Drain is the row of a planned stop of a worker or an instance.
type Drain struct {
	ID string `json:"id"`
	By string `json:"by"`
	// AtUnix is the time of the request as a Unix time in seconds.
	AtUnix int64 `json:"at_unix"`
}
