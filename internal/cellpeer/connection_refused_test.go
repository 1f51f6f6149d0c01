package cellpeer

import (
	"context"
	"net"
	"testing"

	"gentianstand/internal/cellpeer/cellpb"
)

// Guards against an owner that crashed being detected as late as one that is only slow.
func TestRefusedConnectionDiffersFromNoAnswer(t *testing.T) {
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := gone.Addr().String()
	gone.Close()
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	if err := ping(t.Context(), address); !ConnectionRefused(err) {
		t.Errorf("nothing listens: %v does not count as a refused connection", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		accepted, err := unresponsive.Accept()
		if err == nil {
			defer accepted.Close()
		}
		cancel()
	}()
	if err := ping(ctx, unresponsive.Addr().String()); err == nil || ConnectionRefused(err) {
		t.Errorf("no answer: %v counts as a refused connection", err)
	}
}

func ping(ctx context.Context, address string) error {
	_, err := NewClients().To(address).Ping(ctx, &cellpb.PingRequest{})
	return err
}
