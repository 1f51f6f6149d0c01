package catalog

// Update is the answer to a question for the newest configuration.
type Update struct {
	// Catalog is nil if there is none, or no newer one.
	Catalog *Catalog
	// Position is where the next question resumes.
	Position uint64
	// Partial says that the answer did not hold all changes, so that the newest
	// configuration may be missing.
	Partial bool
}
