package load

// Report contains the results of a measurement. Latencies are in milliseconds.
type Report struct {
	Sent       int64            `json:"sent"`
	NotSent    int64            `json:"not_sent"`
	Seconds    float64          `json:"seconds"`
	Throughput float64          `json:"answered_per_second"`
	Answers    map[string]int64 `json:"answers"`
	P50        float64          `json:"p50_ms"`
	P99        float64          `json:"p99_ms"`
	P999       float64          `json:"p999_ms"`
	Max        float64          `json:"max_ms"`
}
