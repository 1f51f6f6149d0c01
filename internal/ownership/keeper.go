package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
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
	id       Identity
	timing   membership.Timing
	table    platform.Table
	peers    Peers
	places   func() []Place
	listener Listener
	session  *membership.Session
	log      *logrus.Entry
	kick     chan struct{}

	mu            sync.Mutex
	stopping      bool
	configVersion uint64
	view          live.View
	electors      [][]live.Process

	// The fields below belong to Run.
	observer *membership.Observer
	beat     uint64
	rights   string
	replaced live.Predecessor
	held     map[string]Held
	given    map[string]Held
	// doubted holds the row versions of hand-overs whose answers were lost.
	doubted map[string]uint64
}

// NewKeeper returns a Keeper. places lists the shards that should exist.
func NewKeeper(id Identity, timing membership.Timing, table platform.Table, peers Peers, session *membership.Session, places func() []Place, listener Listener, log *logrus.Entry) *Keeper {
	return &Keeper{
		id: id, timing: timing, table: table, peers: peers, places: places, listener: listener, session: session, log: log,
		kick:     make(chan struct{}, 1),
		observer: membership.NewObserver(timing),
		held:     map[string]Held{}, given: map[string]Held{}, doubted: map[string]uint64{},
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
		case <-k.kick:
		}
	}
}

// Kick makes Run read the table now, because a peer says it changed.
func (k *Keeper) Kick() {
	select {
	case k.kick <- struct{}{}:
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
	if err == nil {
		// What was lost to others is dropped before the session counts as
		// valid again, or this process would act on it in between.
		k.adopt(view)
		k.publish()
		err = k.renew(ctx, view)
	}
	if err != nil {
		k.confirmOutage(ctx)
	} else {
		k.change(ctx, view)
	}
	k.fencePredecessors(ctx)
	k.settle(ctx)
	k.publish()
	k.noteRights(time.Now())
}

// noteRights logs when this process gains, loses or changes the ground of its
// right to act.
func (k *Keeper) noteRights(now time.Time) {
	rights := "none"
	switch {
	case k.session.Valid(now):
		rights = "session"
	case k.session.Outage(now):
		rights = "confirmed_outage"
	}
	if rights != k.rights {
		k.log.WithFields(logrus.Fields{"from": k.rights, "to": rights, "table_silence": k.session.Silence(now)}).Warn("rights_changed")
		k.rights = rights
	}
}

func (k *Keeper) read(ctx context.Context) (live.View, error) {
	sentAt := time.Now()
	rows, err := k.table.Scan(ctx, live.Prefix, "", scanLimit)
	if err != nil {
		return live.View{}, err
	}
	view, err := live.Parse(rows)
	if err != nil {
		k.log.WithError(err).Error("watched_rows_unreadable")
		return live.View{}, err
	}
	k.session.TableAnswered(sentAt)
	k.observer.Observe(view, sentAt)
	k.mu.Lock()
	k.view = view
	k.mu.Unlock()
	k.listener.ViewRead(view)
	return view, nil
}

// renew writes this process's row. The write is conditional, so a process
// that was replaced on its address finds out and ends.
func (k *Keeper) renew(ctx context.Context, view live.View) error {
	current := view.Instances[k.id.Process.Instance]
	if current.Process != k.id.Process {
		if k.beat > 0 && current.Process != k.replaced.Process {
			k.loseSession()
			return platform.ErrConflict
		}
		k.replaced = live.Predecessor{Process: current.Process, Electors: current.Electors}
	}
	row, stopping := k.nextRow(view)
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	k.doubtElectors(row.Electors)
	sentAt := time.Now()
	key := live.InstanceKey(k.id.Process.Instance)
	tx := platform.Tx{
		ID:     uuid.NewString(),
		Checks: []platform.Check{{Key: key, Version: current.Version}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	}
	if err := k.table.Commit(ctx, tx); err != nil {
		return err
	}
	k.session.Renewed(sentAt)
	k.settleElectors(row.Electors)
	if stopping && k.beat%8 == 1 {
		k.log.Info("session_stopping")
	}
	return nil
}

func (k *Keeper) nextRow(view live.View) (live.Instance, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.beat++
	return live.Instance{
		Process: k.id.Process, Address: k.id.Address, PeerAddress: k.id.PeerAddress,
		Region: k.id.Region, Zone: k.id.Zone, Stopping: k.stopping, Beat: k.beat,
		Electors: k.liveProcesses(view), ConfigVersion: k.configVersion,
		Replaced: k.replaced.Process, ReplacedElectors: k.replaced.Electors,
	}, k.stopping
}

func (k *Keeper) liveProcesses(view live.View) []live.Process {
	list := []live.Process{k.id.Process}
	for _, inst := range view.Instances {
		if inst.Process != k.id.Process && k.observer.Alive(inst.Process) {
			list = append(list, inst.Process)
		}
	}
	slices.SortFunc(list, func(a, b live.Process) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return list
}

func (k *Keeper) loseSession() {
	k.session.Lose()
	k.held, k.given = map[string]Held{}, map[string]Held{}
	k.log.Error("session_lost")
	k.listener.SessionLost()
}

// doubtElectors adds a list of electors that a write under way may install.
// If the answer is lost the row may name either list, so from now on a
// majority of each is needed.
func (k *Keeper) doubtElectors(list []live.Process) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, known := range k.electors {
		if slices.Equal(known, list) {
			return
		}
	}
	k.electors = append(k.electors, list)
}

func (k *Keeper) settleElectors(list []live.Process) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.electors = [][]live.Process{list}
}

// confirmOutage asks all electors at once and notes if a majority vouches.
func (k *Keeper) confirmOutage(ctx context.Context) {
	now := time.Now()
	if k.session.Silence(now) < k.timing.VouchAfter {
		return
	}
	k.mu.Lock()
	lists := slices.Clone(k.electors)
	k.mu.Unlock()
	if len(lists) == 0 {
		return
	}
	vouched := k.ask(ctx, slices.Concat(lists...), func(ctx context.Context, elector live.Process) bool {
		ok, err := k.peers.Vouch(ctx, elector, k.id.Process)
		return err == nil && ok
	})
	for _, list := range lists {
		if !membership.Majority(list, vouched) {
			return
		}
	}
	k.session.Confirmed(now)
	k.log.WithField("vouched", len(vouched)).Debug("outage_confirmed")
}

// ask calls every elector at once and returns those that said yes.
func (k *Keeper) ask(ctx context.Context, electors []live.Process, call func(context.Context, live.Process) bool) []live.Process {
	ctx, cancel := context.WithTimeout(ctx, k.timing.Poll)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var yes []live.Process
	asked := map[live.Process]bool{}
	for _, elector := range electors {
		if asked[elector] {
			continue
		}
		asked[elector] = true
		wg.Go(func() {
			if call(ctx, elector) {
				mu.Lock()
				yes = append(yes, elector)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return yes
}

// change writes what Decide wants and takes over the result.
func (k *Keeper) change(ctx context.Context, view live.View) {
	if !k.session.Valid(time.Now()) {
		return
	}
	actions := Decide(Input{Me: k.id.Process, View: view, Places: k.places(), Alive: k.observer.Alive, Renewing: k.observer.Renewing})
	if len(actions) == 0 {
		return
	}
	tx := platform.Tx{ID: uuid.NewString()}
	for _, a := range actions {
		value, err := json.Marshal(a.Shard)
		if err != nil {
			return
		}
		key := live.ShardKey(a.Shard.Name)
		tx.Checks = append(tx.Checks, platform.Check{Key: key, Version: a.Was})
		tx.Puts = append(tx.Puts, platform.Put{Key: key, Value: value})
	}
	sentAt := time.Now()
	err := k.table.Commit(ctx, tx)
	switch {
	case err == nil:
		k.applyAll(actions, sentAt)
	case errors.Is(err, platform.ErrConflict):
		k.log.Debug("shard_write_conflict")
	default:
		k.doubt(actions, sentAt)
	}
}

func (k *Keeper) applyAll(actions []Action, sentAt time.Time) {
	for _, a := range actions {
		if a.Shard.Owner == k.id.Process {
			k.take(a.Shard)
		} else {
			k.give(a.Shard.Name, sentAt)
		}
	}
}

// doubt handles a write whose answer was lost. A shard that it may have handed
// over is treated as given from the moment the write was sent: the next owner
// counts on this process stopping, also if the table answers no more.
func (k *Keeper) doubt(actions []Action, sentAt time.Time) {
	for _, a := range actions {
		if a.Shard.Owner != k.id.Process {
			k.give(a.Shard.Name, sentAt)
			k.doubted[a.Shard.Name] = a.Was
		}
	}
	k.log.WithField("shards", len(actions)).Warn("shard_write_in_doubt")
}

// adopt takes over rows that name this process as owner, also those that a
// handing-over owner or a write with a lost answer left, and drops others.
func (k *Keeper) adopt(view live.View) {
	for name, row := range view.Shards {
		held, ok := k.held[name]
		switch {
		case row.Owner != k.id.Process:
			delete(k.doubted, name)
			if ok && held.Shard.Epoch < row.Epoch {
				delete(k.held, name)
				k.log.WithFields(shardFields(row)).Info("shard_dropped")
			}
		case k.doubted[name] == row.Version && row.Version != 0:
			k.touch(row)
		case !ok || held.Shard.Epoch < row.Epoch:
			delete(k.doubted, name)
			k.take(row)
		default:
			held.Shard = row
			k.held[name] = held
		}
	}
}

// touch rewrites a row as it is, so that a doubtful hand-over still on its
// way finds another version and cannot take effect any more.
func (k *Keeper) touch(row live.Shard) {
	ctx, cancel := context.WithTimeout(context.Background(), k.timing.Poll)
	defer cancel()
	if err := k.rewrite(ctx, row); err != nil {
		k.log.WithError(err).WithFields(shardFields(row)).Warn("shard_touch_failed")
	}
}

func (k *Keeper) take(row live.Shard) {
	k.held[row.Name] = Held{Shard: row, TakenAt: time.Now(), Fenced: map[live.Process]time.Time{}}
	delete(k.given, row.Name)
	k.log.WithFields(shardFields(row)).Info("shard_taken")
}

func (k *Keeper) give(name string, sentAt time.Time) {
	held, ok := k.held[name]
	if !ok {
		return
	}
	held.GivenAt = sentAt
	k.given[name] = held
	delete(k.held, name)
	k.log.WithFields(shardFields(held.Shard)).Info("shard_handed_over")
}

func shardFields(row live.Shard) logrus.Fields {
	return logrus.Fields{"shard": row.Name, "epoch": row.Epoch, "owner": row.Owner.Instance}
}

// fencePredecessors fences owners before this one that may still be running.
func (k *Keeper) fencePredecessors(ctx context.Context) {
	fenced := map[live.Process]time.Time{}
	for _, held := range k.held {
		for _, p := range held.Shard.Predecessors {
			if _, done := held.Fenced[p.Process]; done || p.HandedOver {
				continue
			}
			at, tried := fenced[p.Process]
			if !tried {
				at = k.fence(ctx, p)
				fenced[p.Process] = at
			}
			if !at.IsZero() {
				held.Fenced[p.Process] = at
			}
		}
	}
}

func (k *Keeper) fence(ctx context.Context, p live.Predecessor) time.Time {
	answered := k.ask(ctx, p.Electors, func(ctx context.Context, elector live.Process) bool {
		return k.peers.Fence(ctx, elector, p.Process) == nil
	})
	if !membership.Majority(p.Electors, answered) {
		return time.Time{}
	}
	k.log.WithField("process", p.Process.String()).Info("predecessor_fenced")
	return time.Now()
}

// settle clears predecessors that have certainly stopped from the rows.
func (k *Keeper) settle(ctx context.Context) {
	now := time.Now()
	for name, held := range k.held {
		if len(held.Shard.Predecessors) == 0 || held.Shard.Version == 0 || !held.Settled(k.timing, now) {
			continue
		}
		next := held.Shard
		next.Predecessors = nil
		if k.rewrite(ctx, next) == nil {
			next.Version = 0
			held.Shard = next
			k.held[name] = held
		}
	}
}

// rewrite stores a row that this process owns, if nobody changed it.
func (k *Keeper) rewrite(ctx context.Context, row live.Shard) error {
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	key := live.ShardKey(row.Name)
	return k.table.Commit(ctx, platform.Tx{
		ID:     uuid.NewString(),
		Checks: []platform.Check{{Key: key, Version: row.Version}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	})
}

func (k *Keeper) publish() {
	now := time.Now()
	list := make([]Held, 0, len(k.held)+len(k.given))
	for _, held := range k.held {
		list = append(list, held)
	}
	for name, held := range k.given {
		if now.Sub(held.GivenAt) >= k.timing.HandOver {
			delete(k.given, name)
			continue
		}
		list = append(list, held)
	}
	k.listener.HeldChanged(list)
}
