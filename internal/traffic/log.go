package traffic

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// logPeriod is the interval of the log lines. It is short enough to locate a saturated link in
// an incident of 10 seconds; with hundreds of instances it produces some dozens of lines per
// second.
const logPeriod = 5 * time.Second

// Log periodically logs the increase of each counter since the previous line, until ctx is
// cancelled. Counters that did not change are omitted.
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

// countsSince returns the increase of each counter compared with last, and updates last.
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
