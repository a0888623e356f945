package crtest

import (
	"bytes"
	"net"
	"sync"

	qt "github.com/frankban/quicktest"
)

// Forwarder is a TCP proxy. It can stall connections, which keeps them open without forwarding any data, or close them.
type Forwarder struct {
	ln net.Listener

	mu          sync.Mutex
	cond        *sync.Cond
	target      string
	stalledFrom map[string]bool
	conns       map[*proxiedConn]bool
	cut         bool
	closed      bool
	wg          sync.WaitGroup
}

// proxiedConn is one proxied connection; hello holds its first bytes, which contain the name of the dialing process.
type proxiedConn struct {
	client, target net.Conn
	hello          []byte
	// stalled is set if no more data is forwarded on this connection.
	stalled bool
}

func (l *proxiedConn) dialedBy(name string) bool { return bytes.Contains(l.hello, []byte(name)) }

func (l *proxiedConn) close() {
	_ = l.client.Close()
	if l.target != nil {
		_ = l.target.Close()
	}
}

// NewForwarder returns a forwarder that listens on a loopback port.
func NewForwarder(c *qt.C) *Forwarder {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	f := &Forwarder{ln: ln, stalledFrom: map[string]bool{}, conns: map[*proxiedConn]bool{}}
	f.cond = sync.NewCond(&f.mu)
	f.wg.Add(1)
	go f.accept()
	return f
}

// Address returns the address on which the forwarder listens.
func (f *Forwarder) Address() string { return f.ln.Addr().String() }

// SetTarget sets the address to which new connections are forwarded.
func (f *Forwarder) SetTarget(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = addr
}

func (f *Forwarder) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.cond.Broadcast()
}

// StallFrom stalls or resumes the connections that the named process dialed.
func (f *Forwarder) StallFrom(name string, on bool) { f.update(func() { f.stalledFrom[name] = on }) }

// StallOpenConnections stalls, for good, all connections that are open now; new connections work.
func (f *Forwarder) StallOpenConnections() {
	f.update(func() {
		for l := range f.conns {
			l.stalled = true
		}
	})
}

// Resume resumes the connections that StallFrom stalled.
func (f *Forwarder) Resume() {
	f.update(func() {
		clear(f.stalledFrom)
	})
}

// CloseFrom closes the connections that the named process dialed and stalls new ones.
func (f *Forwarder) CloseFrom(name string) {
	f.update(func() {
		f.stalledFrom[name] = true
		for l := range f.conns {
			if l.dialedBy(name) {
				l.close()
			}
		}
	})
}

// CloseAll closes all connections and the listener.
func (f *Forwarder) CloseAll() {
	_ = f.ln.Close()
	f.update(func() {
		f.cut = true
		for l := range f.conns {
			l.close()
		}
	})
}

// Close closes all connections and the listener and waits for the goroutines of the forwarder.
func (f *Forwarder) Close() {
	f.update(func() { f.closed = true })
	f.CloseAll()
	f.wg.Wait()
}

func (f *Forwarder) accept() {
	defer f.wg.Done()
	for {
		in, err := f.ln.Accept()
		if err != nil {
			return
		}
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			f.forward(in)
		}()
	}
}

func (f *Forwarder) forward(in net.Conn) {
	l := &proxiedConn{client: in}
	f.mu.Lock()
	f.conns[l] = true
	target, cut := f.target, f.cut
	f.mu.Unlock()
	defer func() {
		l.close()
		f.mu.Lock()
		delete(f.conns, l)
		f.mu.Unlock()
	}()
	first := make([]byte, 4096)
	n, err := in.Read(first)
	if err != nil || cut {
		return
	}
	f.mu.Lock()
	l.hello = first[:n]
	f.mu.Unlock()
	if !f.waitWhileStalled(l) {
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	f.mu.Lock()
	l.target = out
	cut = f.cut
	f.mu.Unlock()
	if _, err := out.Write(first[:n]); err != nil || cut {
		return
	}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		f.copy(l, in, out)
	}()
	f.copy(l, out, in)
}

// waitWhileStalled blocks while the connection is stalled; it returns false if the forwarder was cut or closed.
func (f *Forwarder) waitWhileStalled(l *proxiedConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for !f.closed && !f.cut && f.isStalled(l) {
		f.cond.Wait()
	}
	return !f.closed && !f.cut
}

func (f *Forwarder) isStalled(l *proxiedConn) bool {
	if l.stalled {
		return true
	}
	for name, on := range f.stalledFrom {
		if on && l.dialedBy(name) {
			return true
		}
	}
	return false
}

func (f *Forwarder) copy(l *proxiedConn, from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil || !f.waitWhileStalled(l) {
			break
		}
		if _, err := to.Write(buf[:n]); err != nil {
			break
		}
	}
	l.close()
}

// trackingListener is a listener that records its connections, so that all of them can be closed at once.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

// Accept accepts a connection and records it.
func (t *trackingListener) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err == nil {
		t.mu.Lock()
		t.conns = append(t.conns, c)
		t.mu.Unlock()
	}
	return c, err
}

func (t *trackingListener) closeAll() {
	_ = t.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		_ = c.Close()
	}
}
