package access

// verdict is the result of evaluating a call against a view of the catalog.
type verdict int

const (
	// allowed means that the call is served.
	allowed verdict = iota
	// noCatalog means that this instance has not loaded a catalog yet.
	noCatalog
	// noQueue means that no queue matches the host and the path.
	noQueue
	// unknownKey means that no workspace has the key.
	unknownKey
	// outdated means that the view may be too old to decide.
	outdated
)
