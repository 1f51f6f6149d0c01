package ownership

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/live"
	"gentianstand/internal/membership"
	"gentianstand/internal/platform"
)

// downTable is a table that is unavailable.
type downTable struct{ platform.Table }

func (downTable) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, platform.ErrUnavailable
}

func (downTable) Commit(context.Context, platform.Tx) error { return platform.ErrUnavailable }

// forwardingPeers forwards offers to another keeper.
type forwardingPeers struct {
	Peers
	to *Keeper
}

func (g forwardingPeers) OfferShard(_ context.Context, shard live.Shard) error {
	g.to.ShardOffered(shard)
	return nil
}

// heldRecorder records the names of the shards that are owned and not handed over.
type heldRecorder struct{ names map[string]bool }

func (h *heldRecorder) ViewRead(live.View) {}
func (h *heldRecorder) SessionLost()       {}
func (h *heldRecorder) HeldChanged(held []HeldShard) {
	h.names = map[string]bool{}
	for _, one := range held {
		if one.HandedOverAt.IsZero() {
			h.names[one.Shard.Name] = true
		}
	}
}

func keeperIn(name string, peers Peers, l Listener) *Keeper {
	log := logrus.New()
	log.SetOutput(io.Discard)
	timing := membership.DefaultTiming()
	id := Identity{Process: live.Process{Instance: name, Incarnation: "1"}}
	return NewKeeper(id, timing, downTable{}, peers, membership.NewSession(timing, time.Now()), func() []ShardLocation { return nil }, l, logrus.NewEntry(log))
}

// Guards against a shard without an owner during an outage of the table, if the
// table fails right after a handover. In that case the services and the tasks
// of two racks stopped during the outage and were started a second time after
// it.
func TestHandoverIsOfferedToNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := &heldRecorder{}
		next := keeperIn("next", nil, recorder)
		before := keeperIn("before", forwardingPeers{to: next}, &heldRecorder{})
		row := live.Shard{Name: "rack-1", Owner: before.id.Process, Epoch: 1}
		before.take(row)
		row.Owner, row.Epoch = next.id.Process, 2
		before.recordChanges([]Action{{Shard: row}}, time.Now())
		synctest.Wait()
		next.acceptOffered()
		next.publish()
		if !recorder.names["rack-1"] {
			t.Errorf("the next owner holds %v, want rack-1", recorder.names)
		}
	})
}

// A late offer must not restore a previous owner.
func TestLateOffersAreIgnored(t *testing.T) {
	recorder := &heldRecorder{}
	k := keeperIn("next", nil, recorder)
	other := live.Process{Instance: "other", Incarnation: "1"}
	k.view = live.View{Shards: map[string]live.Shard{"moved-on": {Name: "moved-on", Owner: other, Epoch: 5}}}
	k.ShardOffered(live.Shard{Name: "moved-on", Owner: k.id.Process, Epoch: 4})
	k.ShardOffered(live.Shard{Name: "of-another", Owner: other, Epoch: 4})
	k.ShardOffered(live.Shard{Name: "of-the-process-before", Owner: live.Process{Instance: "next", Incarnation: "0"}, Epoch: 4})
	k.acceptOffered()
	k.publish()
	if len(recorder.names) > 0 {
		t.Errorf("took over %v, want nothing", recorder.names)
	}
}
