package crsoak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is the kind of fault that a proxy applies to its connections.
type Mode string

// Modes of a proxy.
const (
	modePass Mode = ""
	// Delayed delays all data, Reset resets all connections, Silent and the one-way modes drop data in both directions or in
	// one. A connection that lost data forwards nothing more in that direction, also after the mode ends.
	Delayed    Mode = "delayed"
	Reset      Mode = "reset"
	Silent     Mode = "silent"
	OneWayUp   Mode = "cut_to_target"
	OneWayDown Mode = "cut_from_target"
)

var modes = []Mode{Delayed, Reset, Silent, OneWayUp, OneWayDown}

// delay is the time by which mode Delayed delays each read in each direction.
const delay = 80 * time.Millisecond

// proxy forwards TCP connections from one loopback address to another and injects faults into them.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
	// lastDialFailure is when the proxy last failed to connect to the target.
	lastDialFailure time.Time
}

func newProxy(address, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: map[net.Conn]bool{}}
	go p.serve(ln)
	return p, nil
}

// stopListening closes the listener, so that the address refuses connections as if its server had ended.
func (p *proxy) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.ln.Close()
}

// listenAgain listens again after stopListening.
func (p *proxy) listenAgain() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	ln, err := net.Listen("tcp", p.ln.Addr().String())
	if err != nil {
		return err
	}
	p.ln = ln
	go p.serve(ln)
	return nil
}

func (p *proxy) serve(ln net.Listener) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return // the listener was closed by stopListening
		}
		go p.forward(in)
	}
}

func (p *proxy) forward(in net.Conn) {
	if p.currentMode() == Reset {
		reset(in)
		return
	}
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		p.mu.Lock()
		p.lastDialFailure = time.Now()
		p.mu.Unlock()
		reset(in)
		return
	}
	p.addConns(in, out)
	var both sync.WaitGroup
	both.Go(func() { p.copy(out, in, OneWayUp) })
	both.Go(func() { p.copy(in, out, OneWayDown) })
	both.Wait()
	p.closeConns(in, out)
}

// copy copies the data of one direction; cut is the one-way mode that drops it.
func (p *proxy) copy(to, from net.Conn, cut Mode) {
	buf := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		switch p.currentMode() {
		case Delayed:
			time.Sleep(delay)
		case Silent, cut:
			lost = lost || n > 0
		}
		if n > 0 && !lost {
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			p.closeWrite(to, err)
			return
		}
	}
}

// closeWrite closes the direction to a peer after the other peer has closed it; the opposite direction may still carry an
// answer. After an error it resets the connection.
func (p *proxy) closeWrite(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
		_ = tcp.CloseWrite()
		return
	}
	reset(to)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// dialFailedSince reports whether the proxy failed to connect to the target since the given time.
func (p *proxy) dialFailedSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastDialFailure.After(since)
}

func (p *proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) addConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// set changes the mode; mode Reset resets the open connections at once.
func (p *proxy) set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == Reset {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) close() {
	p.stopListening()
	p.set(Reset)
}
