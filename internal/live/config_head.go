package live

// ConfigHead is the row that identifies the configuration in force.
type ConfigHead struct {
	Number uint64 `json:"number"`
	Author string `json:"author"`
	// Digest is the SHA-256 digest of the text in hexadecimal.
	Digest string `json:"digest"`
	// Version is the version of the row that was read; it is not part of the stored value.
	Version uint64 `json:"-"`
}
