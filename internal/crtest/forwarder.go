package crtest

import (
	"bytes"
	"net"
	"sync"

	qt "github.com/frankban/quicktest"
)

// Forwarder passes TCP connections on to a target. Silenced, it keeps them open and passes nothing on.
type Forwarder struct {
	ln net.Listener

	mu     sync.Mutex
	cond   *sync.Cond
	target string
	from   map[string]bool
	links  map[*link]bool
	cut    bool
	closed bool
	wg     sync.WaitGroup
}

// link is one connection; hello is its first message, which names the dialing process.
type link struct {
	in, out net.Conn
	hello   []byte
	// silent links pass nothing on any more.
	silent bool
}

func (l *link) by(name string) bool { return bytes.Contains(l.hello, []byte(name)) }

func (l *link) close() {
	_ = l.in.Close()
	if l.out != nil {
		_ = l.out.Close()
	}
}

// NewForwarder listens on a loopback port.
func NewForwarder(c *qt.C) *Forwarder {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	f := &Forwarder{ln: ln, from: map[string]bool{}, links: map[*link]bool{}}
	f.cond = sync.NewCond(&f.mu)
	f.wg.Add(1)
	go f.accept()
	return f
}

// Address is where the forwarder listens.
func (f *Forwarder) Address() string { return f.ln.Addr().String() }

// Target sets where new connections go.
func (f *Forwarder) Target(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = addr
}

func (f *Forwarder) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.cond.Broadcast()
}

// SilenceFrom stops or resumes the traffic of the connections that one process dialed.
func (f *Forwarder) SilenceFrom(name string, on bool) { f.set(func() { f.from[name] = on }) }

// SilenceOpen stops the traffic of all connections that are open for good; new ones work.
func (f *Forwarder) SilenceOpen() {
	f.set(func() {
		for l := range f.links {
			l.silent = true
		}
	})
}

// Resume ends every silence of a process.
func (f *Forwarder) Resume() {
	f.set(func() {
		clear(f.from)
	})
}

// CutFrom closes the connections that one process dialed and refuses new ones.
func (f *Forwarder) CutFrom(name string) {
	f.set(func() {
		f.from[name] = true
		for l := range f.links {
			if l.by(name) {
				l.close()
			}
		}
	})
}

// Cut closes every connection and the port.
func (f *Forwarder) Cut() {
	_ = f.ln.Close()
	f.set(func() {
		f.cut = true
		for l := range f.links {
			l.close()
		}
	})
}

// Close ends the forwarder.
func (f *Forwarder) Close() {
	f.set(func() { f.closed = true })
	f.Cut()
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
	l := &link{in: in}
	f.mu.Lock()
	f.links[l] = true
	target, cut := f.target, f.cut
	f.mu.Unlock()
	defer func() {
		l.close()
		f.mu.Lock()
		delete(f.links, l)
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
	if !f.wait(l) {
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	f.mu.Lock()
	l.out = out
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

// wait blocks while the link is silenced and reports whether it may go on.
func (f *Forwarder) wait(l *link) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for !f.closed && !f.cut && f.silencedFrom(l) {
		f.cond.Wait()
	}
	return !f.closed && !f.cut
}

func (f *Forwarder) silencedFrom(l *link) bool {
	if l.silent {
		return true
	}
	for name, on := range f.from {
		if on && l.by(name) {
			return true
		}
	}
	return false
}

func (f *Forwarder) copy(l *link, from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil || !f.wait(l) {
			break
		}
		if _, err := to.Write(buf[:n]); err != nil {
			break
		}
	}
	l.close()
}

// tracked is a listener whose connections can be closed at once.
type tracked struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

// Accept notes the connection.
func (t *tracked) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err == nil {
		t.mu.Lock()
		t.conns = append(t.conns, c)
		t.mu.Unlock()
	}
	return c, err
}

func (t *tracked) kill() {
	_ = t.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		_ = c.Close()
	}
}
