package cellowner

import (
	"time"

	"github.com/sirupsen/logrus"
)

// planStats counts the planning passes between two summaries. Only the planning loop uses it.
type planStats struct {
	passes int
	took   time.Duration
}

func (p *planStats) record(took time.Duration) {
	p.passes++
	p.took += took
}

// takeFields returns the counts as log fields and resets them.
func (p *planStats) takeFields() logrus.Fields {
	fields := logrus.Fields{"plans": p.passes, "plan_ms": p.took.Milliseconds()}
	*p = planStats{}
	return fields
}
