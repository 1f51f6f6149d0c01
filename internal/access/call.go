package access

import "gentianstand/internal/steady"

// Call is what decides whether a call is served.
type Call struct {
	Host string
	Path string
	// Key is the API key, or empty.
	Key string
	// ArrivedAt is when the call was read.
	ArrivedAt steady.Instant
}
