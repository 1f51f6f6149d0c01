package cellowner

import "gentianstand/internal/runner"

// newestEnd is the newest end that a report lists, by the incarnation that counts them.
type newestEnd struct {
	born     runner.Incarnation
	sequence uint64
}

func newestEndOf(r runner.Report) newestEnd {
	newest := newestEnd{born: r.Incarnation}
	for _, e := range r.Ended {
		newest.sequence = max(newest.sequence, e.Sequence)
	}
	return newest
}

// follows reports whether the end is one that reports before did not list.
func (n newestEnd) follows(last newestEnd) bool {
	return n.sequence > 0 && (n.born != last.born || n.sequence > last.sequence)
}
