package catalog

// Content is the serializable content of one version of the configuration, which instances
// exchange.
type Content struct {
	// Version increases with every change.
	Version uint64 `cbor:"1,keyasint"`
	// MaxBodyBytes bounds the body of a submission.
	MaxBodyBytes int64   `cbor:"2,keyasint,omitempty"`
	Queues       []Queue `cbor:"3,keyasint,omitempty"`
	// Services lists services in addition to those that queues use.
	Services   []string    `cbor:"4,keyasint,omitempty"`
	Workspaces []Workspace `cbor:"5,keyasint,omitempty"`
}
