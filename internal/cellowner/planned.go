package cellowner

import (
	"time"

	"github.com/sirupsen/logrus"
)

// planned counts the planning passes between two summaries. Only the planning loop uses it.
type planned struct {
	passes int
	took   time.Duration
}

func (p *planned) note(took time.Duration) {
	p.passes++
	p.took += took
}

// take returns the counts as fields of a log line and begins anew.
func (p *planned) take() logrus.Fields {
	fields := logrus.Fields{"plans": p.passes, "plan_ms": p.took.Milliseconds()}
	*p = planned{}
	return fields
}
