package access

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/boottime"
	"gentianstand/internal/catalog"
	"gentianstand/internal/fault"
)

// scriptedConfirmer runs the function that a test sets.
type scriptedConfirmer struct {
	confirm func(context.Context) error
	asked   int
}

func (s *scriptedConfirmer) Confirm(ctx context.Context) error {
	s.asked++
	return s.confirm(ctx)
}

// newTestGate returns a gate whose clock is fixed at 1 hour and whose view has the given age.
func newTestGate(age time.Duration, c *scriptedConfirmer) (*Gate, *catalog.Current, *logtest.Hook) {
	log, hook := logtest.NewNullLogger()
	current := &catalog.Current{}
	current.Advance(testCatalog())
	g := NewGate(Policy{KeysNeeded: true, RevokedWithin: 5 * time.Second}, current, c, NewMetrics(metrics.NewSet()), log)
	g.now = func() boottime.Instant { return boottime.Instant(time.Hour) }
	current.Confirm(g.now().Add(-age))
	return g, current, hook
}

func (g *Gate) admitKey(ctx context.Context, key string) (Grant, error) {
	return g.Admit(ctx, Call{Host: "desk.example", Path: "/closed/1", Key: key, ArrivedAt: g.Now()})
}

// A key that was added a moment ago must not be rejected permanently: the configuration is
// confirmed first.
func TestUnknownKeyIsLookedUpBeforeItIsRefused(t *testing.T) {
	var g *Gate
	var current *catalog.Current
	c := &scriptedConfirmer{confirm: func(context.Context) error {
		current.Advance(catalog.New(catalog.Content{Version: 4, Queues: []catalog.Queue{{Name: "closed", Host: "desk.example", PathPrefix: "/closed/"}},
			Workspaces: []catalog.Workspace{{Name: "east", Keys: []catalog.KeyDigest{catalog.DigestOf("new")}}}}))
		current.Confirm(g.now())
		return nil
	}}
	g, current, _ = newTestGate(time.Second, c)
	if grant, err := g.admitKey(t.Context(), "new"); err != nil || grant.Caller.Workspace != "east" {
		t.Errorf("new key: %+v, %v", grant.Caller, err)
	}
	if _, err := g.admitKey(t.Context(), northKey); !fault.Is(err, fault.UnknownKey) || c.asked != 1 {
		t.Errorf("removed key: %v after %d confirmations, want unknown_key after 1", err, c.asked)
	}
}

// An instance that has lost contact with the store must not accept a removed key.
func TestKeysAreRefusedTemporarilyWithoutConfirmation(t *testing.T) {
	c := &scriptedConfirmer{confirm: func(context.Context) error { return errors.New("no confirmation available") }}
	g, _, hook := newTestGate(4*time.Second, c)
	_, err := g.admitKey(t.Context(), northKey)
	if !fault.Is(err, fault.PlatformUnavailable) || fault.From(err).Answer().RetryAfter <= 0 || fault.From(err).Answer().Outcome != fault.DidNotRun {
		t.Errorf("got %v, want a temporary refusal with outcome did_not_run", err)
	}
	if _, err := g.admitKey(t.Context(), "other"); !fault.Is(err, fault.PlatformUnavailable) {
		t.Errorf("unknown key: %v, want a temporary refusal", err)
	}
	for _, e := range hook.AllEntries() {
		if line, _ := e.String(); strings.Contains(line, northKey) {
			t.Errorf("the log contains a key: %s", line)
		}
	}
}

// A caller must not wait until its deadline for a confirmation that cannot be obtained.
func TestConfirmationTimesOut(t *testing.T) {
	c := &scriptedConfirmer{confirm: func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}}
	g, _, _ := newTestGate(4*time.Second, c)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := g.admitKey(ctx, northKey); !fault.Is(err, fault.PlatformUnavailable) {
		t.Errorf("got %v, want platform_unavailable", err)
	}
}
