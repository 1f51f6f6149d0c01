package callerlimit

// Usage is what an instance holds for its callers.
type Usage struct {
	Connections int
	BodyBytes   int64
	Requests    int
}
