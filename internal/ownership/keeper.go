package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/live"
	"gentianstand/internal/membership"
	"gentianstand/internal/platform"
)

// scanLimit bounds one read of the watched rows.
const scanLimit = 10_000

// Keeper maintains this process's session and its shards. Run is its only loop;
// the other methods may be called from any goroutine.
type Keeper struct {
	id        Identity
	timing    membership.Timing
	table     platform.Table
	peers     Peers
	locations func() []ShardLocation
	listener  Listener
	session   *membership.Session
	log       *logrus.Entry
	wakeup    chan struct{}

	mu            sync.Mutex
	stopping      bool
	configVersion uint64
	view          live.View
	electors      [][]live.Process
	// offered holds rows reported by other instances that name this process as
	// owner.
	offered []live.Shard

	// The fields below are used only by Run.
	observer   *membership.Observer
	beat       uint64
	rights     string
	replaced   live.Predecessor
	held       map[string]HeldShard
	handedOver map[string]HeldShard
	// unconfirmed holds the row versions of handovers whose answers were lost.
	unconfirmed map[string]uint64
}

// NewKeeper returns a Keeper. locations lists the shards that should exist.
func NewKeeper(id Identity, timing membership.Timing, table platform.Table, peers Peers, session *membership.Session, places func() []ShardLocation, listener Listener, log *logrus.Entry) *Keeper {
	return &Keeper{
		id: id, timing: timing, table: table, peers: peers, locations: places, listener: listener, session: session, log: log,
		wakeup:   make(chan struct{}, 1),
		observer: membership.NewObserver(timing),
		held:     map[string]HeldShard{}, handedOver: map[string]HeldShard{}, unconfirmed: map[string]uint64{},
	}
}

// Run maintains the session until ctx ends or the session is lost.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(k.timing.Poll)
	defer ticker.Stop()
	for ctx.Err() == nil && !k.session.Lost() {
		k.cycle(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-k.wakeup:
		}
	}
}

// Kick makes Run read the table immediately, because a peer reported a change.
func (k *Keeper) Kick() {
	select {
	case k.wakeup <- struct{}{}:
	default:
	}
}

// SetStopping makes Run hand over all shards.
func (k *Keeper) SetStopping() {
	k.mu.Lock()
	k.stopping = true
	k.mu.Unlock()
	k.Kick()
}

// SetConfigVersion sets the version of the configuration in force, which is
// written to the session's row.
func (k *Keeper) SetConfigVersion(v uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.configVersion = v
}

// View returns the watched rows as last read.
func (k *Keeper) View() live.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view
}

// cycle reads the table, renews the session and writes due changes. When the
// table does not answer, it asks the electors instead.
func (k *Keeper) cycle(ctx context.Context) {
	view, err := k.read(ctx)
	k.acceptOffered()
	if err == nil {
		// Drop shards that now belong to others before the session is valid
		// again. Otherwise this process would act on them in between.
		k.syncShards(view)
		k.publish()
		err = k.renew(ctx, view)
	}
	if err != nil {
		k.confirmOutage(ctx)
	} else {
		k.applyDecisions(ctx, view)
	}
	k.fencePredecessors(ctx)
	k.clearPredecessors(ctx)
	k.publish()
	k.logRightsChange(time.Now())
}
