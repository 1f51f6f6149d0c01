package access

import (
	"testing"
	"time"

	"gentianstand/internal/boottime"
	"gentianstand/internal/catalog"
)

const (
	northKey = "key-of-north"
	southKey = "key-of-south"
)

func testCatalog() *catalog.Catalog {
	return catalog.New(catalog.Content{Version: 3,
		Queues: []catalog.Queue{
			{Name: "open", Host: "desk.example", PathPrefix: "/open/", Public: true},
			{Name: "closed", Host: "desk.example", PathPrefix: "/closed/"},
		},
		Workspaces: []catalog.Workspace{
			{Name: "north", Keys: []catalog.KeyDigest{catalog.DigestOf(northKey)}},
			{Name: "south", Keys: []catalog.KeyDigest{catalog.DigestOf(southKey), catalog.DigestOf(northKey)}},
		}})
}

func TestPolicyDecides(t *testing.T) {
	keyed := Policy{KeysNeeded: true, RevokedWithin: 5 * time.Second}
	now := boottime.Instant(time.Hour)
	ago := func(d time.Duration) boottime.Instant { return now.Add(-d) }
	for _, test := range []struct {
		name      string
		policy    Policy
		catalog   *catalog.Catalog
		confirmed boottime.Instant
		path, key string
		want      verdict
		workspace string
	}{
		{"no configuration", keyed, nil, 0, "/closed/1", northKey, noCatalog, ""},
		{"valid key", keyed, testCatalog(), ago(time.Second), "/closed/1", northKey, allowed, "north"},
		{"key of two workspaces", keyed, testCatalog(), ago(time.Second), "/closed/1", southKey, allowed, "south"},
		{"valid key, old view", keyed, testCatalog(), ago(3500 * time.Millisecond), "/closed/1", northKey, outdated, ""},
		{"valid key, view never confirmed", keyed, testCatalog(), 0, "/closed/1", northKey, outdated, ""},
		{"valid key, old view, no revocation limit", Policy{KeysNeeded: true}, testCatalog(), ago(time.Hour), "/closed/1", northKey, allowed, "north"},
		{"unknown key, view older than the call", keyed, testCatalog(), ago(time.Second), "/closed/1", "other", outdated, ""},
		{"unknown key, new view", keyed, testCatalog(), ago(100 * time.Millisecond), "/closed/1", "other", unknownKey, ""},
		{"no key, new view", keyed, testCatalog(), ago(100 * time.Millisecond), "/closed/1", "", unknownKey, ""},
		{"public queue", keyed, testCatalog(), ago(time.Second), "/open/1", "", allowed, ""},
		{"public queue, unknown key", keyed, testCatalog(), ago(time.Second), "/open/1", "other", allowed, ""},
		{"public queue, old view", keyed, testCatalog(), ago(3500 * time.Millisecond), "/open/1", "", outdated, ""},
		{"public queue, old view, known key", keyed, testCatalog(), ago(time.Hour), "/open/1", northKey, outdated, ""},
		{"public queue, old view, no revocation limit", Policy{KeysNeeded: true}, testCatalog(), ago(time.Hour), "/open/1", "", allowed, ""},
		{"no such queue", keyed, testCatalog(), ago(time.Second), "/other/1", northKey, noQueue, ""},
		{"no such queue, old view", keyed, testCatalog(), ago(time.Hour), "/other/1", northKey, outdated, ""},
		{"keys are not needed", Policy{}, testCatalog(), 0, "/closed/1", "", allowed, ""},
		{"keys are not needed, no such queue", Policy{}, testCatalog(), 0, "/other/1", "", noQueue, ""},
	} {
		call := Call{Host: "desk.example", Path: test.path, Key: test.key, ArrivedAt: now}
		grant, got := test.policy.decide(catalog.View{Catalog: test.catalog, ConfirmedAt: test.confirmed}, call, now)
		if got != test.want || grant.Caller.Workspace != test.workspace {
			t.Errorf("%s: verdict %d for %q, want %d for %q", test.name, got, grant.Caller.Workspace, test.want, test.workspace)
		}
	}
}

func TestCallerSeesItsOwnJobs(t *testing.T) {
	for _, test := range []struct {
		caller    Caller
		workspace string
		want      bool
	}{
		{Caller{Workspace: "north"}, "north", true},
		{Caller{Workspace: "north"}, "south", false},
		{Caller{Workspace: "north"}, "", true},
		{Caller{Anonymous: true}, "south", true},
		{Caller{}, "south", false},
	} {
		if got := test.caller.MaySee(test.workspace); got != test.want {
			t.Errorf("%+v sees a job of %q: %v", test.caller, test.workspace, got)
		}
	}
}
