package traffic

import "github.com/VictoriaMetrics/metrics"

// RefusedByWorkers counts the new connections that workers reset because they take no more.
var RefusedByWorkers = metrics.GetOrCreateCounter("gentianstand_worker_connections_refused_total")
