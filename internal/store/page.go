package store

// Page is the answer to a read.
type Page struct {
	Rows []Row
	// More says that the range or the feed goes on after the last row.
	More bool
	// Version is the store's newest version as of the answer. A feed resumes
	// from it.
	Version uint64
}
