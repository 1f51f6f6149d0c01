package traffic

import (
	"context"
	"net"
)

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
