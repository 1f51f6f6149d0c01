package catalog

import "crypto/sha256"

// KeyDigest is the SHA-256 digest of an API key. The keys themselves are not stored: a digest
// grants no access.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }
