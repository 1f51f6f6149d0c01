package relay

import "gentianstand/internal/runner"

// reportCodec converts the reports of one link's workers to and from their short form. Both
// ends of a link keep the runs of each worker's last report, and process reports in the
// same order. It is not safe for concurrent use.
type reportCodec map[uint32]lastReport

// lastReport is the part of a worker's last report that is kept.
type lastReport struct {
	running     []runner.RunState
	incarnation runner.Incarnation
}

// shorten stores the short form of a report in a reply.
func (r reportCodec) shorten(out *reply, worker uint32, full runner.Report) {
	before := r[worker].running
	places := make(map[string]int, len(before))
	for i, run := range before {
		places[run.Task] = i
	}
	short := &report{Worker: worker, Running: make([]runState, len(full.Running)), Ended: make([]end, len(full.Ended))}
	for i, run := range full.Running {
		short.Running[i] = runState{Percent: run.Percent, Gauge: float32(run.Gauge)}
		place, known := places[run.Task]
		if known && before[place].Run == run.Run && before[place].Checkpoint == run.Checkpoint {
			short.Running[i].PreviousPlace = 1 + place
			continue
		}
		short.Running[i].Task, short.Running[i].Run, short.Running[i].Checkpoint = run.Task, run.Run, run.Checkpoint
	}
	for i, e := range full.Ended {
		short.Ended[i] = end{Sequence: e.Sequence, Task: e.Task, Run: e.Run, Kind: string(e.Kind), Checkpoint: e.Checkpoint}
	}
	if full.Incarnation != r[worker].incarnation {
		out.IncarnationMillis = int64(full.Incarnation)
	}
	r[worker] = lastReport{full.Running, full.Incarnation}
	out.Report = short
}

// restore returns the full report of a reply. ok is false if the report refers to a run
// that the previous report does not contain.
func (r reportCodec) restore(in *reply) (full runner.Report, ok bool) {
	short := in.Report
	before := r[short.Worker].running
	full.Incarnation = r[short.Worker].incarnation
	if in.IncarnationMillis != 0 {
		full.Incarnation = runner.Incarnation(in.IncarnationMillis)
	}
	full.Running = make([]runner.RunState, len(short.Running))
	for i, s := range short.Running {
		run := runner.RunState{Task: s.Task, Run: s.Run, Checkpoint: s.Checkpoint}
		if s.PreviousPlace > len(before) || s.PreviousPlace < 0 {
			return full, false
		}
		if s.PreviousPlace > 0 {
			run = before[s.PreviousPlace-1]
		}
		run.Percent, run.Gauge = s.Percent, float64(s.Gauge)
		full.Running[i] = run
	}
	full.Ended = make([]runner.End, len(short.Ended))
	for i, e := range short.Ended {
		full.Ended[i] = runner.End{Sequence: e.Sequence, Task: e.Task, Run: e.Run, Kind: runner.EndKind(e.Kind), Checkpoint: e.Checkpoint}
	}
	r[short.Worker] = lastReport{full.Running, full.Incarnation}
	return full, true
}
