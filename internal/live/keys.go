package live

// The keys of the watched rows.
const (
	Prefix         = "live/"
	ConfigKey      = Prefix + "config"
	drainPrefix    = Prefix + "drain/"
	instancePrefix = Prefix + "instance/"
	shardPrefix    = Prefix + "shard/"
)

// InstanceKey returns the key of an instance's row.
func InstanceKey(id string) string { return instancePrefix + id }

// ShardKey returns the key of a shard's row.
func ShardKey(name string) string { return shardPrefix + name }

// DrainKey returns the key of the planned stop of an instance or a worker.
func DrainKey(id string) string { return drainPrefix + id }
