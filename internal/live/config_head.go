package live

// ConfigHead names the configuration in force.
type ConfigHead struct {
	Number uint64 `json:"number"`
	Author string `json:"author"`
	// Digest is the hash of the text in hexadecimal.
	Digest string `json:"digest"`
	// Version is the row's version as read; it is not stored.
	Version uint64 `json:"-"`
}
