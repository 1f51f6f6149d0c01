package roster

import (
	"context"
	"errors"
	"testing"
	"time"
)

// scripted is a Source that returns the given changes in order.
type scripted []Change

func (s *scripted) All(context.Context) (Change, error) { return s.next(), nil }

func (s *scripted) Since(context.Context, uint64, time.Duration) (Change, error) {
	return s.next(), nil
}

func (s *scripted) next() Change {
	c := (*s)[0]
	*s = (*s)[1:]
	return c
}

// Guards against an instance that calls an unreachable address indefinitely, because another
// writer registered a worker of a service that is not configured.
func TestWorkersOfUnknownServicesAreHeldBackUntilTheyAreNamed(t *testing.T) {
	ours, stranger, leaver := Worker{ID: "a", Service: "desk"}, Worker{ID: "b", Service: "other"}, Worker{ID: "c", Service: "other"}
	source := &scripted{{Workers: []Worker{ours, stranger, leaver}, Version: 1}, {Removed: []string{"c"}, Version: 2}, {Version: 3}}
	services := map[string]bool{"desk": true}
	named := NewServiceFilter(source, func(service string) bool { return services[service] })
	for _, test := range []struct {
		name string
		want []string
		then func()
	}{
		{"at first", []string{"a"}, nil},
		{"one of them left", nil, func() { services["other"] = true }},
		{"it is named now", []string{"b"}, nil},
	} {
		change, err := named.Since(t.Context(), 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, w := range change.Workers {
			got = append(got, w.ID)
		}
		if len(got) != len(test.want) || len(got) > 0 && got[0] != test.want[0] {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
		if test.then != nil {
			test.then()
		}
	}
}

// failingSource is a Source that always fails.
type failingSource struct{}

func (failingSource) All(context.Context) (Change, error) { return Change{}, errors.New("not read") }

func (failingSource) Since(context.Context, uint64, time.Duration) (Change, error) {
	return Change{}, errors.New("not read")
}

// Guards against losing workers of a newly configured service: the first read after the
// configuration changes fails, and the workers must still be returned by the next one.
func TestWorkersThatAreNamedInAnOutageAreNotLost(t *testing.T) {
	named := false
	n := NewServiceFilter(&scripted{{Workers: []Worker{{ID: "a", Service: "desk"}}, Version: 1}}, func(string) bool { return named })
	if _, err := n.Since(t.Context(), 0, 0); err != nil {
		t.Fatal(err)
	}
	read := n.source
	named, n.source = true, failingSource{}
	if _, err := n.Since(t.Context(), 1, 0); err == nil {
		t.Fatal("the roster was read")
	}
	if _, err := n.All(t.Context()); err == nil {
		t.Fatal("the roster was read")
	}
	n.source = read
	*read.(*scripted) = scripted{{Version: 2}}
	change, err := n.Since(t.Context(), 1, 0)
	if err != nil || len(change.Workers) != 1 {
		t.Errorf("%d workers after the outage, error %v; want the one whose service was configured during it", len(change.Workers), err)
	}
}
