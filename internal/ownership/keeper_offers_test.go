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

// giving forwards offers to another keeper.
type giving struct {
	Peers
	to *Keeper
}

func (g giving) OfferShard(_ context.Context, shard live.Shard) error {
	g.to.ShardOffered(shard)
	return nil
}

type heldNames struct{ names map[string]bool }

func (h *heldNames) ViewRead(live.View) {}
func (h *heldNames) SessionLost()       {}
func (h *heldNames) HeldChanged(held []HeldShard) {
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
		heard := &heldNames{}
		next := keeperIn("next", nil, heard)
		before := keeperIn("before", giving{to: next}, &heldNames{})
		row := live.Shard{Name: "rack-1", Owner: before.id.Process, Epoch: 1}
		before.take(row)
		row.Owner, row.Epoch = next.id.Process, 2
		before.recordChanges([]Action{{Shard: row}}, time.Now())
		synctest.Wait()
		next.acceptOffered()
		next.publish()
		if !heard.names["rack-1"] {
			t.Errorf("the next owner holds %v", heard.names)
		}
	})
}

// A late offer must not restore a previous owner.
func TestLateOffersAreIgnored(t *testing.T) {
	heard := &heldNames{}
	k := keeperIn("next", nil, heard)
	other := live.Process{Instance: "other", Incarnation: "1"}
	k.view = live.View{Shards: map[string]live.Shard{"moved-on": {Name: "moved-on", Owner: other, Epoch: 5}}}
	k.ShardOffered(live.Shard{Name: "moved-on", Owner: k.id.Process, Epoch: 4})
	k.ShardOffered(live.Shard{Name: "of-another", Owner: other, Epoch: 4})
	k.ShardOffered(live.Shard{Name: "of-the-process-before", Owner: live.Process{Instance: "next", Incarnation: "0"}, Epoch: 4})
	k.acceptOffered()
	k.publish()
	if len(heard.names) > 0 {
		t.Errorf("took %v", heard.names)
	}
}
