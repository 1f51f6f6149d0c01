package traffic

import (
	"crypto/rand"
	"net"
	"testing"
)

func TestBytesAndConnectionsAreCountedByPurpose(t *testing.T) {
	// The counters are global to the process. A random name lets a repeated run of the test
	// start at zero.
	purpose, other := Purpose(rand.Text()), Purpose(rand.Text())
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counted := CounterFor(purpose).WrapListener(listener)
	defer counted.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := counted.Accept()
		if err != nil {
			t.Error(err)
		}
		accepted <- conn
	}()
	dial := CounterFor(other).WrapDial((&net.Dialer{}).DialContext)
	conn, err := dial(t.Context(), "tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	far := <-accepted
	defer far.Close()
	if _, err := conn.Write([]byte("12345")); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 5)
	if _, err := far.Read(buffer); err != nil {
		t.Fatal(err)
	}
	if c := CounterFor(purpose); c.In() != 5 || c.Out() != 0 || c.Connections() != 1 {
		t.Errorf("accepting side: %d in, %d out, %d connections", c.In(), c.Out(), c.Connections())
	}
	if c := CounterFor(other); c.In() != 0 || c.Out() != 5 || c.Connections() != 1 {
		t.Errorf("dialing side: %d in, %d out, %d connections", c.In(), c.Out(), c.Connections())
	}
}

func TestLogLinesTellWhatWasAdded(t *testing.T) {
	last := map[string]uint64{}
	countsSince(last)
	CounterFor(Store).in.Add(7)
	if got := countsSince(last); got["store_in"] != uint64(7) || len(got) != 1 {
		t.Errorf("%v, want 7 bytes from the store and nothing else", got)
	}
	if got := countsSince(last); len(got) != 0 {
		t.Errorf("%v when nothing was added", got)
	}
}
