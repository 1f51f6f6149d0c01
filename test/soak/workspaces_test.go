package soak

import (
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// revokeMillis is the time, in milliseconds, after which a removed key must not be accepted any
	// more.
	revokeMillis = 3000
	// keyKnownAfter is the time after which an added key must not be refused permanently. An
	// instance that does not know a key yet refuses it temporarily.
	keyKnownAfter = time.Second
	// quotaKnownAfter is the time after which an owner must not start tasks under an older quota.
	quotaKnownAfter = 10 * time.Second
	quotaWorkspace  = "south"
)

// quota is a quota in tasks with the time at which it came into force; 0 tasks means no limit.
type quota struct {
	at    time.Time
	tasks int
}

// apiKey is an API key of a workspace.
type apiKey struct {
	text, workspace string
	// from is since when it was valid, until is since when it was not valid any more.
	from, until time.Time
	removed     bool
}

// workspaces holds the workspaces of the configuration, with a history of their keys and quotas.
type workspaces struct {
	world *world

	mu      sync.Mutex
	version int
	keys    []*apiKey
	quotas  []quota
}

func newWorkspaces(w *world) *workspaces {
	s := &workspaces{world: w}
	for _, name := range []string{"north", quotaWorkspace} {
		s.addKey(name)
	}
	s.quotas = append(s.quotas, quota{time.Now(), 0})
	s.store()
	w.judge.Quota = s.taskLimit
	return s
}

func (s *workspaces) addKey(workspace string) {
	s.keys = append(s.keys, &apiKey{text: fmt.Sprintf("key-%s-%d", workspace, len(s.keys)), workspace: workspace})
}

// store puts the present state into force. The caller holds s.mu, or is the only user of s.
func (s *workspaces) store() {
	s.version++
	var tenants []any
	for _, name := range []string{"north", quotaWorkspace} {
		valid := []string{}
		for _, k := range s.keys {
			if k.workspace == name && !k.removed {
				valid = append(valid, k.text)
			}
		}
		most := 0
		if name == quotaWorkspace {
			most = s.quotas[len(s.quotas)-1].tasks * taskCPU
		}
		tenants = append(tenants, map[string]any{"name": name, "api_keys": valid, "weight": 4, "cap": map[string]int{"cpu": most}})
	}
	s.world.store.Put("op", "config", configuration(s.version, tenants))
	now := time.Now()
	for _, k := range s.keys {
		if k.from.IsZero() {
			k.from = now
		}
	}
}

// replaceKey removes a key of a workspace and adds another one.
func (s *workspaces) replaceKey(rnd *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.keys[len(s.keys)-1-rnd.Intn(2)]
	if old.removed {
		return
	}
	s.addKey(old.workspace)
	old.removed = true
	s.store()
	old.until = time.Now()
}

// changeQuota changes the quota of the workspace that has one.
func (s *workspaces) changeQuota(rnd *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quotas = append(s.quotas, quota{time.Now(), 2 + rnd.Intn(10)})
	s.store()
}

// taskLimit returns how many tasks of a workspace may run: the highest quota that may be in force,
// plus a tenth and one task; ok is false if there is no limit.
func (s *workspaces) taskLimit(workspace string) (most int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if workspace != quotaWorkspace {
		return 0, false
	}
	for i, q := range s.quotas {
		old := i+1 < len(s.quotas) && time.Since(s.quotas[i+1].at) > quotaKnownAfter
		if old {
			continue
		}
		if q.tasks == 0 {
			return 0, false
		}
		most = max(most, q.tasks)
	}
	return most + most/10 + 1, true
}

// pick returns a key for a call of a workspace: usually the valid one, otherwise one that was
// removed or never existed.
func (s *workspaces) pick(workspace string, rnd *rand.Rand) *apiKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch rnd.Intn(30) {
	case 0:
		return &apiKey{text: "nobody's key", workspace: workspace}
	case 1, 2, 3:
		return s.keys[rnd.Intn(len(s.keys))]
	}
	return s.newest(workspace)
}

// newest returns the valid key of a workspace. The caller holds s.mu.
func (s *workspaces) newest(workspace string) *apiKey {
	at := slices.IndexFunc(s.keys, func(k *apiKey) bool { return k.workspace == workspace && !k.removed })
	return s.keys[at]
}

// valid returns the valid key of a workspace.
func (s *workspaces) valid(workspace string) *apiKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest(workspace)
}

// checkAnswer checks the answer to a call that was sent with a key at a time.
func (s *workspaces) checkAnswer(k *apiKey, sent time.Time, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case status == http.StatusOK && k.from.IsZero():
		s.world.judge.AddViolation("ROUTE: a call with a key that was never configured is served")
	case status == http.StatusOK && k.removed && sent.Sub(k.until) > revokeMillis*time.Millisecond:
		s.world.judge.AddViolation("CONFIG: a call with %s is served, sent %v after the key was removed", k.text, sent.Sub(k.until))
	case status == http.StatusUnauthorized && !k.from.IsZero() && !k.removed && sent.Sub(k.from) > keyKnownAfter:
		s.world.judge.AddViolation("CONFIG: a call with %s is refused permanently, sent %v after the key was added", k.text, sent.Sub(k.from))
	}
}
