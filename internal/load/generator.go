package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"gentianstand/internal/entry"
)

// The range and precision of the histogram, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// Generator sends the requests of one measurement.
type Generator struct {
	settings Settings
	client   *http.Client
	body     []byte
	open     chan struct{}

	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	answers   map[string]int64
	sent      atomic.Int64
	notSent   atomic.Int64
}

// NewGenerator returns a Generator.
func NewGenerator(s Settings) *Generator {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = s.MostOpen
	return &Generator{
		settings: s, client: &http.Client{Transport: transport, Timeout: s.Timeout},
		body: bytes.Repeat([]byte("x"), s.BodySize), open: make(chan struct{}, s.MostOpen),
		histogram: hdrhistogram.New(lowestMicros, highestMicros, digits), answers: map[string]int64{},
	}
}

// Run sends until the duration is over or ctx ends, waits for the answers and
// returns what was measured.
func (g *Generator) Run(ctx context.Context) Report {
	started := time.Now()
	gap := time.Duration(float64(time.Second) / g.settings.Rate)
	var wg sync.WaitGroup
	for n := 0; ; n++ {
		meant := started.Add(time.Duration(n) * gap)
		if meant.Sub(started) >= g.settings.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(meant))
		select {
		case g.open <- struct{}{}:
		default:
			g.notSent.Add(1)
			continue
		}
		wg.Go(func() {
			defer func() { <-g.open }()
			g.send(ctx, n, meant)
		})
	}
	wg.Wait()
	return g.report(time.Since(started))
}

func (g *Generator) send(ctx context.Context, n int, meant time.Time) {
	g.sent.Add(1)
	server := g.settings.Servers[n%len(g.settings.Servers)]
	target := "http://" + server + entry.PathServices + g.settings.Service + "/" + g.settings.Path
	req, err := http.NewRequestWithContext(ctx, g.settings.Method, target, bytes.NewReader(g.body))
	if err != nil {
		g.note("bad_request_here", 0)
		return
	}
	req.Header.Set(entry.HeaderTimeout, strconv.FormatFloat(g.settings.Timeout.Seconds(), 'f', 3, 64))
	if g.settings.Keys {
		req.Header.Set(entry.HeaderIdempotencyKey, uuid.NewString())
	}
	resp, err := g.client.Do(req)
	if err != nil {
		g.note("no_answer", 0)
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		g.note("broken_answer", 0)
		return
	}
	g.note(answerName(resp), time.Since(meant))
}

func answerName(resp *http.Response) string {
	if kind := resp.Header.Get(entry.HeaderErrorKind); kind != "" {
		return kind
	}
	return "status_" + strconv.Itoa(resp.StatusCode)
}

// note counts an answer; only upstreams' own answers enter the histogram.
func (g *Generator) note(name string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers[name]++
	if name == "status_200" {
		_ = g.histogram.RecordValue(max(took.Microseconds(), lowestMicros))
	}
}

func (g *Generator) report(took time.Duration) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Report{
		Sent: g.sent.Load(), NotSent: g.notSent.Load(), Seconds: took.Seconds(),
		Throughput: float64(g.histogram.TotalCount()) / took.Seconds(), Answers: g.answers,
		P50: millis(g.histogram.ValueAtQuantile(50)), P99: millis(g.histogram.ValueAtQuantile(99)),
		P999: millis(g.histogram.ValueAtQuantile(99.9)), Max: millis(g.histogram.Max()),
	}
}
