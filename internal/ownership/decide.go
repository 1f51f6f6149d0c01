package ownership

import (
	"slices"
	"strings"

	"gentianstand/internal/live"
)

// Input is the state on which Decide bases its decisions.
type Input struct {
	Self      live.Process
	View      live.View
	Locations []ShardLocation
	// Alive reports whether a process holds its session.
	Alive func(live.Process) bool
	// Renewing reports whether a process has been seen to renew its session
	// since the table was last unavailable. Only such a process is given more
	// shards.
	Renewing func(live.Process) bool
}

// Decide returns the changes that Self should write: shards to take over
// because their owner is gone, and shards to hand over because another instance
// should own them. Several instances may decide on different views; the
// conditional write lets only one of them succeed.
func Decide(in Input) []Action {
	alive := aliveInstances(in)
	current := currentOwners(in)
	desired := Desired(alive, in.Locations, current)
	var actions []Action
	for _, p := range in.Locations {
		if a, ok := decideShard(in, p.Name, desired[p.Name], current[p.Name]); ok {
			actions = append(actions, a)
		}
	}
	return actions
}

func decideShard(in Input, name, wanted, holder string) (Action, bool) {
	row := in.View.Shards[name]
	mine := row.Owner == in.Self
	switch {
	case wanted == "" || wanted == holder:
		return Action{}, false
	case mine:
		return in.change(name, row, in.View.Instances[wanted].Process, true), true
	case holder == "" && wanted == in.Self.Instance:
		return in.change(name, row, in.Self, false), true
	default:
		return Action{}, false
	}
}

func (in Input) change(name string, row live.Shard, to live.Process, handedOver bool) Action {
	next := live.Shard{Name: name, Owner: to, Epoch: row.Epoch + 1, Predecessors: slices.Clone(row.Predecessors)}
	if row.Owner != (live.Process{}) {
		old := live.Predecessor{Process: row.Owner, HandedOver: handedOver, Electors: in.electorsOf(row.Owner)}
		next.Predecessors = append(next.Predecessors, old)
	}
	return Action{Shard: next, ExpectedVersion: row.Version}
}

// electorsOf returns the electors that p's row named when it was last read. An
// empty list never yields a majority, so p then cannot be fenced.
func (in Input) electorsOf(p live.Process) []live.Process {
	row := in.View.Instances[p.Instance]
	switch p {
	case row.Process:
		return row.Electors
	case row.Replaced:
		return row.ReplacedElectors
	default:
		return nil
	}
}

func aliveInstances(in Input) []live.Instance {
	var alive []live.Instance
	for _, inst := range in.View.Instances {
		if !inst.Stopping && in.Alive(inst.Process) && (inst.Process == in.Self || in.Renewing(inst.Process)) {
			alive = append(alive, inst)
		}
	}
	slices.SortFunc(alive, func(x, y live.Instance) int { return strings.Compare(x.Process.Instance, y.Process.Instance) })
	return alive
}

// currentOwners returns the instance that owns each shard, without shards whose
// owner is gone. An owner that is stopping but alive still counts.
func currentOwners(in Input) map[string]string {
	owners := map[string]string{}
	for name, row := range in.View.Shards {
		if in.Alive(row.Owner) {
			owners[name] = row.Owner.Instance
		}
	}
	return owners
}
