// Package live defines the table rows that every instance watches: instances, shards, the head of
// the configuration and planned stops. They share one key prefix, so that one scan per poll reads
// all of them.
package live
