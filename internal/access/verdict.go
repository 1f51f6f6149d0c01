package access

// verdict is what a view of the configuration says of a call.
type verdict int

const (
	// allowed means that the call is allowed.
	allowed verdict = iota
	// noCatalog means that no configuration is known.
	noCatalog
	// noQueue means that no queue has this host and path.
	noQueue
	// unknownKey means that no workspace has the key.
	unknownKey
	// outdated means that the view may be too old to tell.
	outdated
)
