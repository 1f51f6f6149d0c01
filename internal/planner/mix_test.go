package planner_test

import (
	"testing"
	"time"
)

// BenchmarkMix executes the same seeded stream of each user with three simple
// schedulers and with the planner's Core. It reports waiting times as the
// baseline's divided by ours (above 1: ours waits less), and utilization as the
// share of the cores in use while work was waiting.
func BenchmarkMix(b *testing.B) {
	for _, u := range mixUsers {
		b.Run(u.name, func(b *testing.B) {
			for b.Loop() {
				stream := drawStream(u, 7)
				ours := runOurs(u, stream)
				b.ReportMetric(ours.packed, "ours-packed")
				report(b, "ours", ours)
				for _, base := range baselines {
					r := base.run(u, stream)
					b.ReportMetric(r.packed, base.name+"-packed")
					for _, class := range []string{"all", "urgent", "normal", "gang"} {
						b.ReportMetric(ratio(r.p99[class], ours.p99[class]), base.name+"/ours-p99-"+class)
					}
					b.ReportMetric(ratio(r.mean["all"], ours.mean["all"]), base.name+"/ours-mean")
				}
			}
		})
	}
}

func report(b *testing.B, name string, r mixResult) {
	for _, class := range []string{"all", "urgent", "normal", "low", "gang"} {
		if len(r.p99) > 0 {
			b.ReportMetric(r.p99[class].Seconds(), name+"-p99-s-"+class)
		}
	}
}

func ratio(a, b time.Duration) float64 {
	return (a.Seconds() + 1) / (b.Seconds() + 1)
}
