package crexchange

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedTimeout is how long sent data may stay unacknowledged before a connection is treated as dead. It is
// longer than the retransmission of a few lost packets takes, and shorter than the usual remaining time of a caller.
const unacknowledgedTimeout = 1500 * time.Millisecond

// KeepAlive is the keep-alive configuration that detects a silent peer on a connection that waits for an answer.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// setSocketTimeout sets the timeout of unacknowledged data.
func setSocketTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// Listen returns a listener that sets the same timeouts on accepted connections.
func Listen(ln net.Listener) net.Listener { return timeoutListener{ln} }

type timeoutListener struct{ net.Listener }

func (b timeoutListener) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		raw, err := t.SyscallConn()
		if err == nil {
			err = setSocketTimeout("", "", raw)
		}
		if err == nil {
			err = t.SetKeepAliveConfig(KeepAlive)
		}
		if err != nil {
			_ = c.Close()
			return b.Accept()
		}
	}
	return c, nil
}

// openAndIdle reports whether an idle connection is open and no data arrived on it.
func openAndIdle(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
