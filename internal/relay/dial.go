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

// dialRelay dials an instance and has it take the connection as a link, by the upgrade of an
// HTTP request, so that a relay needs no port of its own.
func dialRelay(ctx context.Context, address string) (net.Conn, error) {
	conn, err := traffic.For(traffic.Relays).Dial((&net.Dialer{}).DialContext)(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	if err := upgrade(ctx, conn, address); err != nil {
		_ = conn.Close() // it is given up either way
		return nil, err
	}
	return conn, nil
}

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
	if err := req.Write(conn); err != nil {
		return err
	}
	// The relay writes its first frame after the first request only, so nothing of the
	// frames is read into this buffer.
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), req)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return fmt.Errorf("the relay answers with status %d", resp.StatusCode)
	}
	return conn.SetDeadline(time.Time{})
}
