package cellpeer

import (
	"context"
	"net"
	"testing"

	"gentianstand/internal/cellpeer/cellpb"
)

// Failure: an owner that crashed is missed as late as one that is slow.
func TestRefusedIsToldFromSilent(t *testing.T) {
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := gone.Addr().String()
	gone.Close()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	if err := ping(t.Context(), address); !ConnectionRefused(err) {
		t.Errorf("nothing listens: %v is not taken for a refusal", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		accepted, err := silent.Accept()
		if err == nil {
			defer accepted.Close()
		}
		cancel()
	}()
	if err := ping(ctx, silent.Addr().String()); err == nil || ConnectionRefused(err) {
		t.Errorf("no answer: %v is taken for a refusal", err)
	}
}

func ping(ctx context.Context, address string) error {
	_, err := NewClients().To(address).Ping(ctx, &cellpb.PingRequest{})
	return err
}
