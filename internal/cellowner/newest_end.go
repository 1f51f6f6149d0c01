package cellowner

import "gentianstand/internal/runner"

// newestEnd identifies the newest end that a report lists. Sequences are counted per incarnation
// of the worker.
type newestEnd struct {
	incarnation runner.Incarnation
	sequence    uint64
}

func newestEndOf(r runner.Report) newestEnd {
	newest := newestEnd{incarnation: r.Incarnation}
	for _, e := range r.Ended {
		newest.sequence = max(newest.sequence, e.Sequence)
	}
	return newest
}

// newerThan reports whether the end was not listed by earlier reports, of which last is the
// newest end.
func (n newestEnd) newerThan(last newestEnd) bool {
	return n.sequence > 0 && (n.incarnation != last.incarnation || n.sequence > last.sequence)
}
