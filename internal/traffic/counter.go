package traffic

import (
	"context"
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Counter counts the connections of one purpose and their bytes, excluding TCP and IP headers.
// It is safe for concurrent use.
type Counter struct{ in, out, connections *metrics.Counter }

// CounterFor returns the process-wide counter of a purpose.
func CounterFor(p Purpose) *Counter {
	return &Counter{
		in:          metrics.GetOrCreateCounter(fmt.Sprintf(`gentianstand_traffic_bytes_total{purpose=%q,way="in"}`, p)),
		out:         metrics.GetOrCreateCounter(fmt.Sprintf(`gentianstand_traffic_bytes_total{purpose=%q,way="out"}`, p)),
		connections: metrics.GetOrCreateCounter(fmt.Sprintf(`gentianstand_traffic_connections_total{purpose=%q}`, p)),
	}
}

// In returns the number of bytes received since the process started.
func (c *Counter) In() uint64 { return c.in.Get() }

// Out returns the number of bytes sent since the process started.
func (c *Counter) Out() uint64 { return c.out.Get() }

// Connections returns the number of connections opened since the process started.
func (c *Counter) Connections() uint64 { return c.connections.Get() }

// WrapDial returns a DialFunc that counts the connections opened by dial.
func (c *Counter) WrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.wrap(conn), nil
	}
}

// WrapListener returns a listener that counts the connections accepted by l.
func (c *Counter) WrapListener(l net.Listener) net.Listener { return &listener{l, c} }

func (c *Counter) wrap(conn net.Conn) net.Conn {
	c.connections.Inc()
	return &countedConn{conn, c}
}
