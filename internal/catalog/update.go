package catalog

// Update is the result of a read of the configuration from its source.
type Update struct {
	// Catalog is nil if there is no configuration, or no newer one.
	Catalog *Catalog
	// Position is where the next read resumes.
	Position uint64
	// Partial is set if the response did not contain all changes, so that the newest
	// configuration may be missing.
	Partial bool
}
