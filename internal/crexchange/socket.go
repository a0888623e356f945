package crexchange

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// silence is how long sent bytes may stay unacknowledged before a connection counts as dead. It is above the time in
// which a few lost packets are sent again, and below the usual time that a caller has left.
const silence = 1500 * time.Millisecond

// Probes find a silent peer on a connection that waits for an answer.
var Probes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// control sets the bound on unacknowledged bytes.
func control(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// Listen listens with the same bounds on accepted connections.
func Listen(ln net.Listener) net.Listener { return bounded{ln} }

type bounded struct{ net.Listener }

func (b bounded) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		raw, err := t.SyscallConn()
		if err == nil {
			err = control("", "", raw)
		}
		if err == nil {
			err = t.SetKeepAliveConfig(Probes)
		}
		if err != nil {
			_ = c.Close()
			return b.Accept()
		}
	}
	return c, nil
}

// quiet reports whether an idle connection is open and nothing came on it.
func quiet(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		sound = err == syscall.EAGAIN
		return true
	})
	return err == nil && sound
}
