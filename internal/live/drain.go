package live

// Drain is the planned stop of a worker or an instance.
type Drain struct {
	ID string `json:"id"`
	By string `json:"by"`
	// AtUnix is when it was asked for, in seconds since 1970.
	AtUnix int64 `json:"at_unix"`
}
