package catalog

import "gentianstand/internal/resource"

// Workspace is a tenant with its own API keys, fair-share weight and quota.
type Workspace struct {
	Name string `cbor:"1,keyasint"`
	// Keys are the digests of the API keys that grant access to queues that are not public.
	Keys []KeyDigest `cbor:"2,keyasint,omitempty"`
	// Weight is the workspace's relative share when capacity is scarce.
	Weight float64 `cbor:"3,keyasint,omitempty"`
	// Cap bounds the resources that its runs may use on all workers together; 0 in a
	// dimension means no limit.
	Cap resource.Amount `cbor:"4,keyasint,omitempty"`
}
