package ownership

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/live"
	"gentianstand/internal/platform"
)

// logRightsChange logs when this process gains or loses its right to act, or
// when the basis of that right changes.
func (k *Keeper) logRightsChange(now time.Time) {
	rights := "none"
	switch {
	case k.session.Valid(now):
		rights = "session"
	case k.session.Outage(now):
		rights = "confirmed_outage"
	}
	if rights != k.rights {
		k.log.WithFields(logrus.Fields{"from": k.rights, "to": rights, "table_silence": k.session.SinceTableAnswer(now)}).Warn("rights_changed")
		k.rights = rights
	}
}

func (k *Keeper) read(ctx context.Context) (live.View, error) {
	sentAt := time.Now()
	rows, err := k.table.Scan(ctx, live.Prefix, "", scanLimit)
	if err != nil {
		k.session.TableFailed(time.Now())
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

// renew writes this process's row. The write is conditional, so a process whose
// instance has a new process detects that and ends.
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
	k.addElectors(row.Electors)
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
	k.setElectors(row.Electors)
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
		Region: k.id.Region, Zone: k.id.Zone, Stopping: k.stopping, HeartbeatCount: k.beat,
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
	k.session.MarkLost()
	k.held, k.handedOver = map[string]HeldShard{}, map[string]HeldShard{}
	k.log.Error("session_lost")
	k.listener.SessionLost()
}

// addElectors adds the list of electors that a write in progress may install.
// If its answer is lost, the row may name either list, so a majority of each is
// required from then on.
func (k *Keeper) addElectors(list []live.Process) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, known := range k.electors {
		if slices.Equal(known, list) {
			return
		}
	}
	k.electors = append(k.electors, list)
}

func (k *Keeper) setElectors(list []live.Process) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.electors = [][]live.Process{list}
}
