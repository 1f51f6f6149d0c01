package catalog

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Encode encodes the catalog for transfer to other instances.
func (c *Catalog) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c.content)
	if err != nil {
		return nil, fmt.Errorf("encode catalog: %w", err)
	}
	return data, nil
}

// Decode decodes a catalog that Encode encoded.
func Decode(data []byte) (*Catalog, error) {
	var content Content
	if err := cbor.Unmarshal(data, &content); err != nil {
		return nil, fmt.Errorf("decode catalog: %w", err)
	}
	return New(content), nil
}
