package cellleader

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/cell"
	"gentianstand/internal/cellowner"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/store"
)

// Only a previous holder that knows the current term has stopped; otherwise a task could run
// twice after a takeover.
func TestOnlyTheEarlierHolderThatKnowsTheTermHasStopped(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	owner := cellowner.New(cell.Settings{Term: 5}, store.Check{}, cellowner.Deps{Log: log, Metrics: cellowner.NewMetrics(metrics.NewSet())})
	term := &term{leader: &Leader{log: log}, number: 5, owner: owner, onlyPredecessor: "edge-1", confirmations: newConfirmations(time.Now())}
	for _, ping := range []*cellpb.PingRequest{{From: "edge-1", Term: 4}, {From: "edge-2", Term: 5}} {
		term.pingReceived(ping, time.Now())
	}
	if len(hook.AllEntries()) > 0 {
		t.Fatalf("treated as stopped: %v", hook.LastEntry().Data)
	}
	for range 2 {
		term.pingReceived(&cellpb.PingRequest{From: "edge-1", Term: 5}, time.Now())
	}
	if got := len(hook.AllEntries()); got != 1 || hook.LastEntry().Message != "earlier_owner_stopped" {
		t.Errorf("%d lines, want one that it has stopped", got)
	}
}
