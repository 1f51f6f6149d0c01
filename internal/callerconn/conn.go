package callerconn

import (
	"net"
	"sync/atomic"
	"time"

	"gentianstand/internal/callerlimit"
)

// writeTimeout is how long a caller may take to receive a part of its response.
const writeTimeout = 30 * time.Second

// conn is a caller's connection that has a slot.
type conn struct {
	net.Conn
	guard *Guard
	slot  *callerlimit.Slot
	// receiving is set while ReadBody reads from the connection.
	receiving atomic.Bool
}

// Interrupt implements callerlimit.Connection. A connection that receives a body gets a read timeout, so
// that its handler can still tell the caller that the request was rejected. Others are closed.
func (c *conn) Interrupt() {
	if c.receiving.Load() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // it may be closed already
		return
	}
	_ = c.Close()
}

// Write implements net.Conn. A caller that reads no responses would otherwise hold its connection, and
// the request in progress on it, for good.
func (c *conn) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on closed connections
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.slot.Close()
	return err
}
