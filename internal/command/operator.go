package command

import (
	"encoding/json"
	"fmt"
	"os/user"
	"time"

	"gentianstand/internal/client"
	"gentianstand/internal/fault"
	"gentianstand/internal/settings"
)

// operatorFlags are the flags that all commands for operators share.
type operatorFlags struct {
	server  string
	token   string
	by      string
	json    bool
	timeout time.Duration
}

func (f *operatorFlags) register(s *settings.Settings) {
	s.StringVar(&f.server, "server", "127.0.0.1:8080", "`host:port` of any instance")
	s.StringVar(&f.token, "operator-token", "", "bearer token, if the instances require one")
	s.StringVar(&f.by, "by", currentUser(), "name of the operator for the audit trail")
	s.BoolVar(&f.json, "json", false, "print JSON")
	s.DurationVar(&f.timeout, "timeout", 15*time.Second, "timeout of the request")
	s.Check("timeout", "above 0", func() bool { return f.timeout > 0 })
}

func (f *operatorFlags) client() *client.Client {
	return client.New(f.server, f.token, f.by, f.timeout)
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "anonymous"
}

// finish prints err, or the result as JSON or by calling text, and returns the exit code.
func (f *operatorFlags) finish(std Streams, err error, result any, text func()) int {
	if err != nil {
		return f.fail(std, err)
	}
	if f.json {
		encoder := json.NewEncoder(std.Out)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(result)
		return exitOK
	}
	text()
	return exitOK
}

func (f *operatorFlags) fail(std Streams, err error) int {
	fe := fault.From(err)
	if f.json {
		_ = json.NewEncoder(std.Out).Encode(map[string]any{"error": map[string]any{
			"kind": fe.Kind, "message": fe.Message, "outcome": fe.Answer().Outcome,
		}})
		return exitFailed
	}
	fmt.Fprintln(std.Err, err)
	if after := fe.Answer().RetryAfter; after > 0 && fe.Kind != fault.Internal {
		fmt.Fprintf(std.Err, "outcome: %s; come back in %s\n", fe.Answer().Outcome, after)
	}
	return exitFailed
}
