package settings

import (
	"errors"
	"flag"
	"io"
	"strings"
	"testing"
)

func newTestSettings(env map[string]string) (*Settings, *int, *string) {
	s := New("test", "usage", io.Discard)
	s.lookup = func(name string) (string, bool) { v, ok := env[name]; return v, ok }
	n := s.Int("most-open", 7, "number")
	word := s.String("zone", "", "zone")
	s.Check("most-open", "1 to 10", func() bool { return *n >= 1 && *n <= 10 })
	s.Check("zone", "a name", func() bool { return *word != "" })
	return s, n, word
}

func TestPrecedence(t *testing.T) {
	cases := []struct {
		name string
		args []string
		env  map[string]string
		want int
	}{
		{"default", []string{"-zone", "z"}, nil, 7},
		{"environment before default", []string{"-zone", "z"}, map[string]string{"GENTIANSTAND_MOST_OPEN": "3"}, 3},
		{"flag before environment", []string{"-zone", "z", "-most-open", "4"}, map[string]string{"GENTIANSTAND_MOST_OPEN": "3"}, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, n, _ := newTestSettings(c.env)
			if err := s.Parse(c.args); err != nil || *n != c.want {
				t.Errorf("got %d, %v; want %d", *n, err, c.want)
			}
		})
	}
}

// TestAllMistakesAtOnce checks that all errors are reported together, each with the flag, its
// value and the allowed values.
func TestAllMistakesAtOnce(t *testing.T) {
	s, _, _ := newTestSettings(map[string]string{"GENTIANSTAND_MOST_OPEN": "x"})
	err := s.Parse(nil)
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{`GENTIANSTAND_MOST_OPEN is "x"`, `-zone is ""; allowed: a name`} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q lacks %q", err, want)
		}
	}
}

func TestHelp(t *testing.T) {
	s, _, _ := newTestSettings(nil)
	if err := s.Parse([]string{"-h"}); !errors.Is(err, flag.ErrHelp) {
		t.Errorf("got %v", err)
	}
}
