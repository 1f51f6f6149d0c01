package access

import "gentianstand/internal/boottime"

// Call holds the properties of a request that decide whether it is served.
type Call struct {
	Host string
	Path string
	// Key is the API key, or empty.
	Key string
	// ArrivedAt is when the request was read.
	ArrivedAt boottime.Instant
}
