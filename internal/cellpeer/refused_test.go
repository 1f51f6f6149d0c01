package cellpeer

import (
	"context"
	"net"
	"testing"

	"gentianstand/internal/cellpeer/cellpb"
)

// Symptom: an owner that crashed is missed as late as one that is slow.
// Sequence: a ping reaches a machine on which nothing listens; another one reaches
// a machine that never answers.
// Cause to be ruled out: the client's error does not tell the two apart.
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
	if err := ping(t.Context(), address); !Refused(err) {
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
	if err := ping(ctx, silent.Addr().String()); err == nil || Refused(err) {
		t.Errorf("no answer: %v is taken for a refusal", err)
	}
}

func ping(ctx context.Context, address string) error {
	_, err := NewClients().To(address).Ping(ctx, &cellpb.PingRequest{})
	return err
}
