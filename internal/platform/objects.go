package platform

import "context"

// Objects is the platform's object store. It holds values that are too large for a row.
type Objects interface {
	// PutObject stores data under key, replacing any previous value.
	PutObject(ctx context.Context, key string, data []byte) error
	// GetObject returns the data under key, or nil if there is none.
	GetObject(ctx context.Context, key string) ([]byte, error)
}
