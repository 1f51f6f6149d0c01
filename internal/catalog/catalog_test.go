package catalog

import "testing"

func TestLongestPrefixOfTheHostDecides(t *testing.T) {
	c := New(Content{Version: 1, Queues: []Queue{
		{Name: "all", Host: "desk.example", PathPrefix: "/a/"},
		{Name: "some", Host: "desk.example", PathPrefix: "/a/b/"},
		{Name: "other", Host: "Other.Example", PathPrefix: "/a/"},
	}})
	for _, test := range []struct{ host, path, queue, rest string }{
		{"desk.example", "/a/1", "all", "1"},
		{"desk.example", "/a/b/1", "some", "1"},
		{"desk.example:8080", "/a/b/", "some", ""},
		{"OTHER.example", "/a/1", "other", "1"},
		{"desk.example", "/a", "", ""},
		{"desk.example", "/b/1", "", ""},
		{"nobody.example", "/a/1", "", ""},
	} {
		q, rest, ok := c.Match(test.host, test.path)
		if ok != (test.queue != "") {
			t.Errorf("%s%s: found %v", test.host, test.path, ok)
			continue
		}
		if ok && (q.Name != test.queue || rest != test.rest) {
			t.Errorf("%s%s: queue %s with %q, want %s with %q", test.host, test.path, q.Name, rest, test.queue, test.rest)
		}
	}
}

// Guards against a delayed read of an older version that removes a newly added queue.
func TestCatalogOnlyMovesUp(t *testing.T) {
	var current Current
	if current.Get() != nil {
		t.Fatal("a catalog is in force before the first Advance")
	}
	for _, test := range []struct {
		version uint64
		taken   bool
	}{{3, true}, {2, false}, {3, false}, {9, true}} {
		if taken := current.Advance(New(Content{Version: test.version})); taken != test.taken {
			t.Errorf("version %d taken: %v", test.version, taken)
		}
	}
	if got := current.Get().Version; got != 9 {
		t.Errorf("version %d in force", got)
	}
}
