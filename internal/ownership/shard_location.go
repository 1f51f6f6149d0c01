package ownership

// ShardLocation names a shard that should have an owner, with the region and
// zone of its workers.
type ShardLocation struct {
	Name   string
	Region string
	Zone   string
}
