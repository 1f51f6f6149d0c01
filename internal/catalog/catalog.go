package catalog

import (
	"sort"
	"strings"
)

// Catalog is one immutable version of the operator's configuration, indexed for lookups.
type Catalog struct {
	// Version increases with every change.
	Version uint64
	// MaxBodyBytes bounds the body of a submission.
	MaxBodyBytes int64
	content      Content
	byHost       map[string][]Queue
	services     map[string]struct{}
	byKey        map[KeyDigest]string
}

// New returns the catalog of a configuration. A key that is listed by several workspaces
// belongs to the first of them.
func New(content Content) *Catalog {
	c := &Catalog{Version: content.Version, MaxBodyBytes: content.MaxBodyBytes, content: content,
		byHost: map[string][]Queue{}, services: map[string]struct{}{}, byKey: map[KeyDigest]string{}}
	for _, s := range content.Services {
		c.services[s] = struct{}{}
	}
	for _, q := range content.Queues {
		c.services[q.Service] = struct{}{}
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	for _, w := range content.Workspaces {
		for _, key := range w.Keys {
			if _, taken := c.byKey[key]; !taken {
				c.byKey[key] = w.Name
			}
		}
	}
	return c
}

// HasService reports whether the configuration contains a service, on its own or in a queue.
func (c *Catalog) HasService(name string) bool {
	_, named := c.services[name]
	return named
}

// Match returns the queue on host with the longest matching path prefix, and the rest of
// the path after the prefix.
func (c *Catalog) Match(host, path string) (*Queue, string, bool) {
	list := c.byHost[strings.ToLower(stripPort(host))]
	for i := range list {
		if rest, ok := strings.CutPrefix(path, list[i].PathPrefix); ok {
			return &list[i], rest, true
		}
	}
	return nil, "", false
}

// WorkspaceOf returns the name of the workspace that a key belongs to.
func (c *Catalog) WorkspaceOf(key KeyDigest) (string, bool) {
	name, known := c.byKey[key]
	return name, known
}

// Workspaces returns all workspaces. Callers must not modify the list.
func (c *Catalog) Workspaces() []Workspace { return c.content.Workspaces }

// TotalWeight returns the sum of the weights of all workspaces.
func (c *Catalog) TotalWeight() float64 {
	sum := 0.0
	for i := range c.content.Workspaces {
		sum += c.content.Workspaces[i].Weight
	}
	return sum
}

// Weight returns the weight of a workspace, or 0 if it is not listed.
func (c *Catalog) Weight(workspace string) float64 {
	for i := range c.content.Workspaces {
		if c.content.Workspaces[i].Name == workspace {
			return c.content.Workspaces[i].Weight
		}
	}
	return 0
}

func stripPort(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}
