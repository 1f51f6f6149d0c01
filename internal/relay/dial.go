package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"gentianstand/internal/traffic"
)

// dialRelay connects to an instance and turns the connection into a link with an HTTP
// upgrade request, so that a relay needs no port of its own.
func dialRelay(ctx context.Context, address string) (net.Conn, error) {
	conn, err := traffic.CounterFor(traffic.Relays).WrapDial((&net.Dialer{}).DialContext)(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	if err := upgrade(ctx, conn, address); err != nil {
		_ = conn.Close() // the upgrade error is returned
		return nil, err
	}
	return conn, nil
}

// upgrade sends the HTTP upgrade request and checks the response.
func upgrade(ctx context.Context, conn net.Conn, address string) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", protocol)
	req.Header.Set(featuresHeader, repeatedEnds)
	if err := req.Write(conn); err != nil {
		return err
	}
	// The relay sends no frame before it has received the first request, so this buffer
	// reads nothing beyond the response.
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), req)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %d", errLinkNotAccepted, resp.StatusCode)
	}
	return conn.SetDeadline(time.Time{})
}
