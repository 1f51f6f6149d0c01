package worker

// Fault describes the faults that are injected into the stand-in.
type Fault struct {
	// FailAll makes every task fail immediately after its start.
	FailAll bool `json:"fail_all"`
	// Hang leaves requests unanswered.
	Hang bool `json:"hang"`
	// ServeMillis overrides the time to serve a request, if not 0.
	ServeMillis int64 `json:"serve_millis"`
	// SilenceConnections makes the connections that are open now unresponsive: requests on
	// them are never answered. New connections work.
	SilenceConnections bool `json:"silence_connections"`
	// Nonsense answers requests with bytes that are not HTTP.
	Nonsense bool `json:"nonsense"`
	// DropAgent makes calls to the agent fail, as if the worker were partitioned from its
	// owner.
	DropAgent bool `json:"drop_agent"`
}
