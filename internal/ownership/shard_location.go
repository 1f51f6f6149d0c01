package ownership

// ShardLocation is a shard that should have an owner.
type ShardLocation struct {
	Name   string
	Region string
	Zone   string
}
