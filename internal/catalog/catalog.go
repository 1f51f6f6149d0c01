package catalog

import (
	"sort"
	"strings"
)

// Catalog is one version of the operator's configuration. It does not change.
type Catalog struct {
	// Version rises with every change.
	Version uint64
	// MaxBodyBytes bounds the body of a submission.
	MaxBodyBytes int64
	byHost       map[string][]Queue
	services     map[string]struct{}
}

// New returns a catalog of queues, and of services beside those that the queues use.
func New(version uint64, maxBodyBytes int64, queues []Queue, services []string) *Catalog {
	c := &Catalog{Version: version, MaxBodyBytes: maxBodyBytes, byHost: map[string][]Queue{}, services: map[string]struct{}{}}
	for _, s := range services {
		c.services[s] = struct{}{}
	}
	for _, q := range queues {
		c.services[q.Service] = struct{}{}
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return c
}

// NamesService reports whether the configuration names a service.
func (c *Catalog) NamesService(name string) bool {
	_, named := c.services[name]
	return named
}

// Match returns the queue with the longest prefix of path on host, and what
// follows the prefix.
func (c *Catalog) Match(host, path string) (*Queue, string, bool) {
	list := c.byHost[strings.ToLower(withoutPort(host))]
	for i := range list {
		if rest, ok := strings.CutPrefix(path, list[i].PathPrefix); ok {
			return &list[i], rest, true
		}
	}
	return nil, "", false
}

func withoutPort(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}
