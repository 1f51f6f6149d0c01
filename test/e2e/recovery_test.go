package e2e

import (
	"testing"
	"time"
)

// BenchmarkRecovery measures, for each disruption that disables an instance: the time until its
// shards have a new owner, the time until a running batch of 60 tasks ends, relative to a
// cluster without disruptions, and the share of requests through the other instances that are
// not answered.
func BenchmarkRecovery(b *testing.B) {
	quiet := 0.0
	b.Run("Quiet", func(b *testing.B) {
		for b.Loop() {
			s := newBenchCluster(b)
			started := time.Now()
			s.awaitState(s.instances[0], "letters", "succeeded")
			quiet = time.Since(started).Seconds()
			b.ReportMetric(quiet, "batch-s")
		}
	})
	for _, tr := range disruptions {
		if tr.name != "Kill" && tr.name != "Freeze" && tr.name != "Cut" {
			continue
		}
		b.Run(tr.name, func(b *testing.B) {
			for b.Loop() {
				s := newBenchCluster(b)
				victim := s.planner(s.instances[0])
				rest := s.others(victim)
				traffic := s.sendTraffic(rest, 4)
				started := time.Now()
				tr.inject(s, victim)
				s.awaitTakenOver(victim)
				b.ReportMetric(time.Since(started).Seconds(), "overtaken-s")
				s.awaitState(rest[0], "letters", "succeeded")
				b.ReportMetric(time.Since(started).Seconds()/quiet, "batch/quiet")
				ok, refused, broken := traffic.stop(s)
				b.ReportMetric(float64(refused+broken)/float64(ok+refused+broken), "not-answered-share")
				s.checkRecord()
			}
		})
	}
}

// newBenchCluster returns a cluster that has applied serviceText and serves requests.
func newBenchCluster(b *testing.B) *cluster {
	s := newCluster(b, 3, 6, 2)
	s.awaitOwned()
	s.apply(s.instances[0], serviceText)
	s.awaitRunning(s.instances[0], "casedesk", 6)
	for _, inst := range s.instances {
		s.awaitAnswered(inst, "casedesk/first")
	}
	return s
}
