package traffic

import "net"

// countedConn adds the bytes that a connection transfers to a counter.
type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.in.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.out.Add(n)
	return n, err
}
