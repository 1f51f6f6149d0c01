package access

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianstand/internal/boottime"
	"gentianstand/internal/catalog"
)

const (
	modelInstances = 2
	modelRevoke    = 5 * time.Second
	// modelRejectAfter is how long after it was added a key must not be rejected permanently.
	modelRejectAfter = time.Second
)

// modelKeys are the keys that configurations may contain. The last one represents a call
// without a key; no configuration contains it.
var modelKeys = []string{"k0", "k1", ""}

// modelInstance is an instance with its own clock.
type modelInstance struct {
	current *catalog.Current
	offset  time.Duration
	drift   float64
	queries []*modelQuery
}

// modelQuery is an outstanding query to the store or to another instance.
type modelQuery struct {
	asked    boottime.Instant
	answered bool
	found    *catalog.Catalog
	age      time.Duration
}

// modelVersion is one version of the configuration and when it was acknowledged.
type modelVersion struct {
	keys []string
	// public means that the queue needs no key.
	public bool
	at     time.Duration
}

// opens reports whether a call with a key is allowed.
func (v *modelVersion) opens(key string) bool { return v.public || slices.Contains(v.keys, key) }

// accessModel simulates a store, instances that read it and query each other, and calls.
type accessModel struct {
	now       time.Duration
	versions  []modelVersion
	instances []*modelInstance
}

func (m *accessModel) clock(i *modelInstance) boottime.Instant {
	return boottime.Instant(i.offset + time.Duration(float64(m.now)*(1+i.drift)))
}

func (m *accessModel) newest() *catalog.Catalog {
	keys := []catalog.KeyDigest{}
	version := m.versions[len(m.versions)-1]
	for _, key := range version.keys {
		keys = append(keys, catalog.DigestOf(key))
	}
	return catalog.New(catalog.Content{Version: uint64(len(m.versions)), Workspaces: []catalog.Workspace{{Name: "w", Keys: keys}},
		Queues: []catalog.Queue{{Name: "q", Host: "h", PathPrefix: "/", Public: version.public}}})
}

// validSince reports whether a key was valid at any time at or after from.
func (m *accessModel) validSince(key string, from time.Duration) bool {
	for n, v := range m.versions {
		endsBefore := n+1 < len(m.versions) && m.versions[n+1].at < from
		if !endsBefore && v.opens(key) {
			return true
		}
	}
	return false
}

// call makes a call with a key at an instance and checks the verdict.
func (m *accessModel) call(t *rapid.T, i *modelInstance, key string) {
	call := Call{Host: "h", Path: "/1", Key: key, ArrivedAt: m.clock(i)}
	policy := Policy{KeysNeeded: true, RevokedWithin: modelRevoke}
	_, got := policy.decide(i.current.View(), call, m.clock(i))
	if got == allowed && !m.validSince(key, m.now-modelRevoke) {
		t.Fatalf("%q is served at %v; versions %+v", key, m.now, m.versions)
	}
	newest := m.versions[len(m.versions)-1]
	if got == unknownKey && newest.opens(key) && m.now-newest.at > modelRejectAfter {
		t.Fatalf("%q is rejected permanently at %v; versions %+v", key, m.now, m.versions)
	}
}

// pick draws a random instance.
func (m *accessModel) pick(t *rapid.T) *modelInstance {
	return rapid.SampledFrom(m.instances).Draw(t, "instance")
}

// change puts a configuration with some of the keys into effect.
func (m *accessModel) change(t *rapid.T) {
	all := modelKeys[:len(modelKeys)-1]
	kept := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 0, len(all), rapid.ID[string]).Draw(t, "keys")
	m.versions = append(m.versions, modelVersion{kept, rapid.Bool().Draw(t, "public"), m.now})
}

// ask sends a query from a random instance.
func (m *accessModel) ask(t *rapid.T) {
	i := m.pick(t)
	i.queries = append(i.queries, &modelQuery{asked: m.clock(i)})
}

// unanswered returns the oldest query of an instance without an answer, or nil.
func (i *modelInstance) unanswered() *modelQuery {
	at := slices.IndexFunc(i.queries, func(r *modelQuery) bool { return !r.answered })
	if at < 0 {
		return nil
	}
	return i.queries[at]
}

// answerFromStore lets the store answer a query.
func (m *accessModel) answerFromStore(t *rapid.T) {
	if r := m.pick(t).unanswered(); r != nil {
		r.answered, r.found = true, m.newest()
	}
}

// answerFromInstance lets an instance answer a query of another one.
func (m *accessModel) answerFromInstance(t *rapid.T) {
	i, peer := m.pick(t), m.pick(t)
	view := peer.current.View()
	r := i.unanswered()
	if i == peer || view.Catalog == nil || r == nil {
		return
	}
	r.answered, r.found, r.age = true, view.Catalog, view.Age(m.clock(peer))
}

// deliverAnswer delivers an answer to the instance that sent the query.
func (m *accessModel) deliverAnswer(t *rapid.T) {
	i := m.pick(t)
	at := slices.IndexFunc(i.queries, func(r *modelQuery) bool { return r.answered })
	if at < 0 {
		return
	}
	r := i.queries[at]
	i.queries = slices.Delete(i.queries, at, at+1)
	i.current.Advance(r.found)
	i.current.Confirm(r.asked.Add(-r.age))
}

// restart restarts an instance, which loses its state.
func (m *accessModel) restart(t *rapid.T) {
	i := m.pick(t)
	i.current, i.queries = &catalog.Current{}, nil
}

// callAll makes a call with every key at every instance.
func (m *accessModel) callAll(t *rapid.T) {
	for _, i := range m.instances {
		for _, key := range modelKeys {
			m.call(t, i, key)
		}
	}
}

func newAccessModel(t *rapid.T) *accessModel {
	m := &accessModel{versions: []modelVersion{{keys: modelKeys[:len(modelKeys)-1]}}}
	for range modelInstances {
		m.instances = append(m.instances, &modelInstance{current: &catalog.Current{},
			offset: time.Duration(rapid.IntRange(1, 1000).Draw(t, "offset")) * time.Second, drift: float64(rapid.IntRange(-10, 10).Draw(t, "drift")) / 1000})
	}
	return m
}

// A removed key must not open a queue after the revocation limit, even on an instance whose
// reads are delayed, that gets its view from other instances, restarts, or has a drifting
// clock.
func TestModelOfRevocation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newAccessModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				m.now += time.Duration(rapid.SampledFrom([]int{1, 100, 600, 1500, 3300}).Draw(t, "ms")) * time.Millisecond
			},
			"change":           m.change,
			"ask":              m.ask,
			"store answers":    m.answerFromStore,
			"instance answers": m.answerFromInstance,
			"answer arrives":   m.deliverAnswer,
			"start again":      m.restart,
			"":                 m.callAll,
		})
	})
}
