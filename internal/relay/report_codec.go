package relay

import (
	"slices"

	"gentianstand/internal/runner"
)

// reportCodec converts the reports of one link's workers to and from their short form. Both
// ends of a link keep the runs and ends of each worker's last report, and process reports in
// the same order. It is not safe for concurrent use.
type reportCodec map[uint32]lastReport

// lastReport is the part of a worker's last report that is kept.
type lastReport struct {
	running     []runner.RunState
	ended       []runner.End
	incarnation runner.Incarnation
}

// shortenRepeated is shorten for an owner that restores repeated ends. A worker lists its ends
// until they are acknowledged. While an owner cannot store them, they would otherwise fill its
// link, so that it could not reach the store either.
func (r reportCodec) shortenRepeated(out *reply, worker uint32, full runner.Report) {
	repeated := r[worker].repeatedEnds(full)
	r.shorten(out, worker, full)
	out.RepeatedEnds = repeated
	out.Report.Ended = out.Report.Ended[repeated:]
}

// repeatedEnds returns the number of ends at the start of a report that were the last ones of the
// previous report.
func (l lastReport) repeatedEnds(full runner.Report) int {
	if len(full.Ended) == 0 || full.Incarnation != l.incarnation {
		return 0
	}
	first := slices.Index(l.ended, full.Ended[0])
	if first < 0 {
		return 0
	}
	repeated := l.ended[first:]
	if len(repeated) > len(full.Ended) || !slices.Equal(repeated, full.Ended[:len(repeated)]) {
		return 0
	}
	return len(repeated)
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
	r[worker] = lastReport{full.Running, full.Ended, full.Incarnation}
	out.Report = short
}

// restore returns the full report of a reply. ok is false if the report refers to a run or an
// end that the previous report does not contain.
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
	ended := r[short.Worker].ended
	if in.RepeatedEnds > len(ended) || in.RepeatedEnds < 0 {
		return full, false
	}
	full.Ended = make([]runner.End, 0, in.RepeatedEnds+len(short.Ended))
	full.Ended = append(full.Ended, ended[len(ended)-in.RepeatedEnds:]...)
	for _, e := range short.Ended {
		full.Ended = append(full.Ended, runner.End{Sequence: e.Sequence, Task: e.Task, Run: e.Run, Kind: runner.EndKind(e.Kind), Checkpoint: e.Checkpoint})
	}
	r[short.Worker] = lastReport{full.Running, full.Ended, full.Incarnation}
	return full, true
}
