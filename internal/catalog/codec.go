package catalog

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Encode returns the bytes of a catalog for other instances.
func (c *Catalog) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c.content)
	if err != nil {
		return nil, fmt.Errorf("catalog: %w", err)
	}
	return data, nil
}

// Decode reads what Encode wrote.
func Decode(data []byte) (*Catalog, error) {
	var content Content
	if err := cbor.Unmarshal(data, &content); err != nil {
		return nil, fmt.Errorf("catalog: %w", err)
	}
	return New(content), nil
}
