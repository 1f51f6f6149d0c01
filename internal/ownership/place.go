package ownership

// Place is a shard that should have an owner.
type Place struct {
	Name   string
	Region string
	Zone   string
}
