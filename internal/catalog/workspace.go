package catalog

import "gentianstand/internal/resource"

// Workspace is a customer whose jobs are told apart from those of others.
type Workspace struct {
	Name string `cbor:"1,keyasint"`
	// Keys open the queues that are not public.
	Keys []KeyDigest `cbor:"2,keyasint,omitempty"`
	// Weight is its share when there is not enough room for all.
	Weight float64 `cbor:"3,keyasint,omitempty"`
	// Cap is what its runs may occupy on all workers together; 0 in a dimension is no limit.
	Cap resource.Amount `cbor:"4,keyasint,omitempty"`
}
