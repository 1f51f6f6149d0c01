package command

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"gentianstand/internal/load"
	"gentianstand/internal/settings"
)

const loadUsage = `Sends requests to a service at a fixed rate (open loop) and prints latencies, which
are measured from the scheduled send time of each request, the throughput, and the
number of responses by error kind. Latencies cover responses with status 200 only.`

func loadCommand(ctx context.Context, args []string, std Streams) int {
	var c load.Settings
	s := settings.New("load", loadUsage, std.Err)
	servers := s.String("servers", "127.0.0.1:8080", "`host:port` of instances, separated by commas")
	asJSON := s.Bool("json", false, "print JSON")
	s.StringVar(&c.Service, "service", "", "name of the service")
	s.StringVar(&c.Path, "path", "", "path within the service")
	s.StringVar(&c.Method, "method", "GET", "HTTP method")
	s.Float64Var(&c.Rate, "rate", 100, "requests per second")
	s.DurationVar(&c.Duration, "duration", 10*time.Second, "duration of the test")
	s.DurationVar(&c.Timeout, "timeout", 5*time.Second, "timeout of each request")
	s.IntVar(&c.BodySize, "body", 0, "size of the body in bytes")
	s.BoolVar(&c.Keys, "keys", false, "give each request its own idempotency key")
	s.IntVar(&c.MostOpen, "most-open", 10_000, "maximum number of requests in progress; further ones are counted as not sent")
	s.Check("service", "the name of a service", func() bool { return c.Service != "" })
	s.Check("rate", "above 0, at most 1000000", func() bool { return c.Rate > 0 && c.Rate <= 1e6 })
	s.Check("duration", "above 0", func() bool { return c.Duration > 0 })
	s.Check("timeout", "above 0", func() bool { return c.Timeout > 0 })
	s.Check("body", "0 to 67108864", func() bool { return c.BodySize >= 0 && c.BodySize <= 64<<20 })
	s.Check("most-open", "above 0", func() bool { return c.MostOpen > 0 })
	if code, done := parse(s, args, std); done {
		return code
	}
	c.Servers = strings.Split(*servers, ",")
	report := load.NewGenerator(c).Run(ctx)
	if *asJSON {
		_ = json.NewEncoder(std.Out).Encode(report)
		return exitOK
	}
	printLoad(std, report)
	return exitOK
}

func printLoad(std Streams, r load.Report) {
	fmt.Fprintf(std.Out, "sent %d in %.1f s, not sent %d, answered with 200: %.1f a second\n", r.Sent, r.Seconds, r.NotSent, r.Throughput)
	fmt.Fprintf(std.Out, "waiting p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, max %.2f ms\n", r.P50, r.P99, r.P999, r.Max)
	names := make([]string, 0, len(r.Answers))
	for name := range r.Answers {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(std.Out, "  %-24s %d\n", name, r.Answers[name])
	}
}
