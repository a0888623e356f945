package crcapacity

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// countingListener counts the bytes in both directions of all connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection, wrapped so that its bytes are counted.
func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, c.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// fault is a fault injected into the traffic of one process.
type fault int

const (
	healthy fault = iota
	// closed closes each connection at once, as the kernel does for a killed process.
	closed
	// silent keeps connections open and forwards nothing, as a network partition does.
	silent
)

// network forwards TCP connections between processes and injects a fault for one process, identified by its name in the
// handshake.
type network struct {
	mu    sync.Mutex
	name  string
	fault fault
	// changed is closed and replaced at each change of the fault.
	changed chan struct{}
	conns   map[*forwardedConn]struct{}
	lns     []net.Listener
	wg      sync.WaitGroup
}

// forwardedConn is one connection through the network. from is empty until the handshake has shown the name of the dialing
// process.
type forwardedConn struct {
	a, b     net.Conn
	from, to string
}

func newNetwork() *network {
	return &network{changed: make(chan struct{}), conns: map[*forwardedConn]struct{}{}}
}

// listen opens an address and forwards its connections to target, the address of the process called name.
func (w *network) listen(name, target string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	w.lns = append(w.lns, ln)
	w.mu.Unlock()
	w.wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			w.wg.Go(func() { w.forward(conn, name, target) })
		}
	})
	return ln.Addr().String(), nil
}

func (w *network) forward(a net.Conn, name, target string) {
	b, err := net.Dial("tcp", target)
	if err != nil {
		_ = a.Close()
		return
	}
	f := &forwardedConn{a: a, b: b, to: name}
	w.mu.Lock()
	w.conns[f] = struct{}{}
	w.mu.Unlock()
	w.wg.Go(func() { w.copy(f, b, a, false) })
	w.copy(f, a, b, true)
	w.mu.Lock()
	delete(w.conns, f)
	w.mu.Unlock()
}

// handshakeNamePrefix is the start of the name of a control instance in the handshake; one digit follows.
var handshakeNamePrefix = []byte("control-")

// copy copies bytes from src to dst. If dialer is set, the first bytes contain the name of the dialing process.
func (w *network) copy(f *forwardedConn, src, dst net.Conn, dialer bool) {
	defer func() { _, _ = f.a.Close(), f.b.Close() }()
	buf := make([]byte, 32<<10)
	for first := dialer; ; first = false {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if i := bytes.Index(buf[:n], handshakeNamePrefix); first && i >= 0 && i+len(handshakeNamePrefix) < n {
			w.mu.Lock()
			f.from = string(buf[i : i+len(handshakeNamePrefix)+1])
			w.mu.Unlock()
		}
		if !w.waitWhileSilent(f) {
			return
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// waitWhileSilent blocks while the fault silent applies to the connection. It returns false if the connection must be closed.
func (w *network) waitWhileSilent(f *forwardedConn) bool {
	for {
		w.mu.Lock()
		hit := w.fault != healthy && (f.from == w.name || f.to == w.name)
		kind, changed := w.fault, w.changed
		w.mu.Unlock()
		if !hit {
			return true
		}
		if kind == closed {
			return false
		}
		<-changed
	}
}

// set injects a fault for the process called name and ends the fault before; healthy means no fault. Unless the new fault is
// silent, it closes the connections of the process and of the one that had the fault before.
func (w *network) set(name string, kind fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind != silent {
		for f := range w.conns {
			if f.from == w.name || f.to == w.name || f.from == name || f.to == name {
				_, _ = f.a.Close(), f.b.Close()
			}
		}
	}
	w.name, w.fault = name, kind
	close(w.changed)
	w.changed = make(chan struct{})
}

// close closes all connections and listeners.
func (w *network) close() {
	w.mu.Lock()
	for _, ln := range w.lns {
		_ = ln.Close()
	}
	w.mu.Unlock()
	w.set("", closed)
	w.mu.Lock()
	for f := range w.conns {
		_, _ = f.a.Close(), f.b.Close()
	}
	w.mu.Unlock()
	w.wg.Wait()
}
