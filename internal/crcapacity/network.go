package crcapacity

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// counted counts the bytes of all connections that a listener accepts, both directions.
type counted struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection with its bytes counted.
func (c counted) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, c.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what it reads.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// fault is what happens to one process's traffic.
type fault int

const (
	healthy fault = iota
	// closed ends each connection at once, as the kernel does for a killed process.
	closed
	// silent keeps connections open and forwards nothing, as a cut link does.
	silent
)

// network forwards TCP between processes and injects a fault for one process, by its name in the handshake.
type network struct {
	mu    sync.Mutex
	name  string
	fault fault
	// changed is closed and replaced at each change of the fault.
	changed chan struct{}
	conns   map[*forwarded]struct{}
	lns     []net.Listener
	wg      sync.WaitGroup
}

// forwarded is one connection through the network; from is set once its handshake has shown a name.
type forwarded struct {
	a, b     net.Conn
	from, to string
}

func newNetwork() *network {
	return &network{changed: make(chan struct{}), conns: map[*forwarded]struct{}{}}
}

// listen opens an address whose connections are forwarded to the process called name at target.
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
	f := &forwarded{a: a, b: b, to: name}
	w.mu.Lock()
	w.conns[f] = struct{}{}
	w.mu.Unlock()
	w.wg.Go(func() { w.copy(f, b, a, false) })
	w.copy(f, a, b, true)
	w.mu.Lock()
	delete(w.conns, f)
	w.mu.Unlock()
}

// helloMark is the part of a control instance's name that the handshake shows.
var helloMark = []byte("control-")

// copy moves bytes from src to dst; the dialing side's first bytes tell who dials.
func (w *network) copy(f *forwarded, src, dst net.Conn, dialer bool) {
	defer func() { _, _ = f.a.Close(), f.b.Close() }()
	buf := make([]byte, 32<<10)
	for first := dialer; ; first = false {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if i := bytes.Index(buf[:n], helloMark); first && i >= 0 && i+len(helloMark) < n {
			w.mu.Lock()
			f.from = string(buf[i : i+len(helloMark)+1])
			w.mu.Unlock()
		}
		if !w.pass(f) {
			return
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// pass waits while the connection is cut off and reports whether it goes on.
func (w *network) pass(f *forwarded) bool {
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

// set injects a fault for the process called name, or ends it; connections of a cut off process end with the fault.
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

// close ends all connections and listeners.
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
