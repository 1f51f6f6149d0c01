package catalog

import "crypto/sha256"

// KeyDigest stands for an API key. Keys themselves are not kept: a digest opens nothing.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }
