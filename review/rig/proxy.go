//go:build review

package rig

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy forwards TCP connections to a target.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*pair]struct{}
	cut   bool
	delay time.Duration
}

// pair is one forwarded connection.
type pair struct {
	in, out net.Conn
	silent  bool
}

// NewProxy listens on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[*pair]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SilenceOpen makes the connections that are open now deliver nothing more in either direction,
// without an end or a reset. New connections work. It returns their number.
func (p *Proxy) SilenceOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		if !c.silent {
			c.silent = true
			n++
		}
	}
	return n
}

// ResetOpen resets the connections that are open now and returns their number.
func (p *Proxy) ResetOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		for _, end := range []net.Conn{c.in, c.out} {
			if tcp, ok := end.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = end.Close()
		}
	}
	return len(p.conns)
}

// Cut partitions the target from its callers, silently: data of open connections is lost for good,
// and new ones get no answer while the cut lasts.
func (p *Proxy) Cut(on bool) {
	if on {
		p.SilenceOpen()
	}
	p.mu.Lock()
	p.cut = on
	p.mu.Unlock()
}

// Delay delays all data by d.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	p.delay = d
	p.mu.Unlock()
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.ResetOpen()
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(in)
	}
}

func (p *Proxy) serve(in net.Conn) {
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	if cut {
		p.swallow(in)
		return
	}
	out, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		if tcp, ok := in.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = in.Close()
		return
	}
	c := &pair{in: in, out: out}
	p.mu.Lock()
	c.silent = p.cut
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(c, out, in) })
	both.Go(func() { p.forward(c, in, out) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// swallow keeps a connection open that nobody answers, until its caller ends it.
func (p *Proxy) swallow(in net.Conn) {
	c := &pair{in: in, out: in, silent: true}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	_, _ = io.Copy(io.Discard, in)
	_ = in.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// forward copies one direction and ends both when it ends. The end of a silent connection is not
// passed on.
func (p *Proxy) forward(c *pair, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		silent, delay := c.silent, p.delay
		p.mu.Unlock()
		if err != nil {
			_ = from.Close()
			if !silent {
				_ = to.Close()
			}
			return
		}
		if silent {
			continue
		}
		time.Sleep(delay)
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}
