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

// Keeper holds this process's session and shards. Run is its only loop; the
// other methods may be called from anywhere.
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
	// offered are rows that other instances say name this process.
	offered []live.Shard

	// The fields below belong to Run.
	observer   *membership.Observer
	beat       uint64
	rights     string
	replaced   live.Predecessor
	held       map[string]HeldShard
	handedOver map[string]HeldShard
	// unconfirmed holds the row versions of hand-overs whose answers were lost.
	unconfirmed map[string]uint64
}

// NewKeeper returns a Keeper. places lists the shards that should exist.
func NewKeeper(id Identity, timing membership.Timing, table platform.Table, peers Peers, session *membership.Session, places func() []ShardLocation, listener Listener, log *logrus.Entry) *Keeper {
	return &Keeper{
		id: id, timing: timing, table: table, peers: peers, locations: places, listener: listener, session: session, log: log,
		wakeup:   make(chan struct{}, 1),
		observer: membership.NewObserver(timing),
		held:     map[string]HeldShard{}, handedOver: map[string]HeldShard{}, unconfirmed: map[string]uint64{},
	}
}

// Run keeps the session until ctx ends or the session is lost.
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

// Kick makes Run read the table now, because a peer says it changed.
func (k *Keeper) Kick() {
	select {
	case k.wakeup <- struct{}{}:
	default:
	}
}

// SetStopping asks Run to hand everything over.
func (k *Keeper) SetStopping() {
	k.mu.Lock()
	k.stopping = true
	k.mu.Unlock()
	k.Kick()
}

// SetConfigVersion notes the configuration in force, for the session's row.
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

// cycle is one round: read, renew, change what should change. When the table
// does not answer it asks the electors instead.
func (k *Keeper) cycle(ctx context.Context) {
	view, err := k.read(ctx)
	k.acceptOffered()
	if err == nil {
		// What was lost to others is dropped before the session counts as
		// valid again, or this process would act on it in between.
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
