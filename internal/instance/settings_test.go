package instance

import (
	"io"
	"strings"
	"testing"

	"gentianstand/internal/settings"
)

// TestBadSettings checks that all errors are reported at once, each with the flag, its value and
// the allowed values.
func TestBadSettings(t *testing.T) {
	var c Settings
	s := settings.New("serve", "", io.Discard)
	c.Register(s)
	err := s.Parse([]string{
		"-id", "", "-listen", "localhost:80", "-peer-listen", "1.2.3.4", "-region", "r", "-zone", "a b",
		"-platform", "10.0.0.2:9000", "-platform-timeout", "1ms", "-stop-timeout", "0s", "-log-level", "loud",
	})
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{
		`-id is ""`, `-listen is "localhost:80"; allowed: an IP number`, `-peer-listen is "1.2.3.4"`, `-zone is "a b"`,
		`-platform is "10.0.0.2:9000"; allowed: an http URL`, `-platform-timeout is "1ms"; allowed: 50ms to 1m`,
		`-stop-timeout is "0s"`, `-log-level is "loud"; allowed: debug`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q lacks %q", err, want)
		}
	}
}
