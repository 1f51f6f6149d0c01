package store

// Page is one page of rows from a range or from the feed of changes.
type Page struct {
	Rows []Row
	// More is set if the range or the feed continues after the last row.
	More bool
	// Version is the store's newest version at the time of the response. A feed resumes
	// from it.
	Version uint64
}
