package relay

import "gentianstand/internal/runner"

// reports turns the reports of one link's workers into their short form, or back. Both
// ends keep the runs of the last report of each worker, and see the reports in the same
// order. It is not safe for concurrent use.
type reports map[uint32]lastReport

// lastReport is what is kept of a worker's last report.
type lastReport struct {
	running []runner.RunState
	born    runner.Incarnation
}

// shorten puts a report into a reply in its short form.
func (r reports) shorten(out *reply, worker uint32, full runner.Report) {
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
			short.Running[i].Before = 1 + place
			continue
		}
		short.Running[i].Task, short.Running[i].Run, short.Running[i].Saved = run.Task, run.Run, run.Checkpoint
	}
	for i, e := range full.Ended {
		short.Ended[i] = end{Sequence: e.Sequence, Task: e.Task, Run: e.Run, How: string(e.Kind), Saved: e.Checkpoint}
	}
	if full.Incarnation != r[worker].born {
		out.BornMillis = int64(full.Incarnation)
	}
	r[worker] = lastReport{full.Running, full.Incarnation}
	out.Report = short
}

// restore returns the report of a reply; ok is false if it names a run that the report
// before did not have.
func (r reports) restore(in *reply) (full runner.Report, ok bool) {
	short := in.Report
	before := r[short.Worker].running
	full.Incarnation = r[short.Worker].born
	if in.BornMillis != 0 {
		full.Incarnation = runner.Incarnation(in.BornMillis)
	}
	full.Running = make([]runner.RunState, len(short.Running))
	for i, s := range short.Running {
		run := runner.RunState{Task: s.Task, Run: s.Run, Checkpoint: s.Saved}
		if s.Before > len(before) || s.Before < 0 {
			return full, false
		}
		if s.Before > 0 {
			run = before[s.Before-1]
		}
		run.Percent, run.Gauge = s.Percent, float64(s.Gauge)
		full.Running[i] = run
	}
	full.Ended = make([]runner.End, len(short.Ended))
	for i, e := range short.Ended {
		full.Ended[i] = runner.End{Sequence: e.Sequence, Task: e.Task, Run: e.Run, Kind: runner.EndKind(e.How), Checkpoint: e.Saved}
	}
	r[short.Worker] = lastReport{full.Running, full.Incarnation}
	return full, true
}
