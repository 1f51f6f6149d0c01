package traffic

import "net"

// listener counts the connections that it accepts.
type listener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.wrap(conn), nil
}
