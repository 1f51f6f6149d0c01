package worker

// Fault is what the stand-in does wrong at the moment.
type Fault struct {
	// FailAll ends every task as failed right after its start.
	FailAll bool `json:"fail_all"`
	// Hang keeps requests without an answer.
	Hang bool `json:"hang"`
	// ServeMillis replaces the time a request takes, when not zero.
	ServeMillis int64 `json:"serve_millis"`
	// SilenceConnections makes all connections open now go silent: what
	// arrives on them is swallowed. New ones work.
	SilenceConnections bool `json:"silence_connections"`
	// Nonsense answers requests with bytes that are no HTTP.
	Nonsense bool `json:"nonsense"`
	// DropAgent makes the agent's calls fail, as if the worker were cut off
	// from its owner.
	DropAgent bool `json:"drop_agent"`
}
