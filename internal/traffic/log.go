package traffic

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// logPeriod is how often the counters are written: often enough to place a full link in
// an incident of ten seconds, and with hundreds of instances some dozens of lines a second.
const logPeriod = 5 * time.Second

// Log writes what was counted since the line before, until ctx ends. A purpose without
// bytes is left out.
func Log(ctx context.Context, log logrus.FieldLogger) {
	ticker := time.NewTicker(logPeriod)
	defer ticker.Stop()
	last := map[string]uint64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			log.WithFields(countsSince(last)).Info("traffic")
		}
	}
}

// countsSince returns by how much each counter is higher than in last, and updates last.
func countsSince(last map[string]uint64) logrus.Fields {
	fields := logrus.Fields{}
	for _, p := range Purposes {
		c := CounterFor(p)
		for name, total := range map[string]uint64{"in": c.In(), "out": c.Out(), "connections": c.Connections()} {
			key := string(p) + "_" + name
			if grown := total - last[key]; grown > 0 {
				fields[key] = grown
			}
			last[key] = total
		}
	}
	return fields
}
