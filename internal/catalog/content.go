package catalog

// Content is what a version of the configuration says, in a form that can be passed on to
// other instances.
type Content struct {
	// Version rises with every change.
	Version uint64 `cbor:"1,keyasint"`
	// MaxBodyBytes bounds the body of a submission.
	MaxBodyBytes int64   `cbor:"2,keyasint,omitempty"`
	Queues       []Queue `cbor:"3,keyasint,omitempty"`
	// Services are named besides those that queues use.
	Services   []string    `cbor:"4,keyasint,omitempty"`
	Workspaces []Workspace `cbor:"5,keyasint,omitempty"`
}
