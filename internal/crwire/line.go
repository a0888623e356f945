package crwire

import (
	"net"
	"sync"
	"time"
)

// earlyCloseConn is the connection below a yamux session. When a yamux session ends, it first wakes the readers of its streams, then
// closes the connection, and only then marks the streams as closed. Until then the readers spin, which may block a process with
// one processor. An earlyCloseConn is therefore closed before yamux sees any error, and the session ends on the reading goroutine
// of yamux, so that nothing blocks between these steps.
type earlyCloseConn struct {
	net.Conn
	closeOnce, readEndedOnce sync.Once
	// readEnded is closed when reading has ended.
	readEnded chan struct{}
	// frames, if set, follows the frames that are read.
	frames *frameMeter
}

func newEarlyCloseConn(conn net.Conn) *earlyCloseConn {
	return &earlyCloseConn{Conn: conn, readEnded: make(chan struct{})}
}

// closeConn closes the underlying connection. The reading goroutine of yamux then ends the session.
func (l *earlyCloseConn) closeConn() { l.closeOnce.Do(func() { _ = l.Conn.Close() }) }

func (l *earlyCloseConn) endRead() { l.readEndedOnce.Do(func() { close(l.readEnded) }) }

// Read closes the connection at the first error.
func (l *earlyCloseConn) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	if err == nil && l.frames != nil {
		if err = l.frames.read(time.Now(), p[:n]); err != nil {
			n = 0
		}
	}
	if err != nil {
		l.closeConn()
		l.endRead()
	}
	return n, err
}

// Write closes the connection at the first error, and returns the error only after reading has ended, so that the reading
// goroutine ends the session.
func (l *earlyCloseConn) Write(p []byte) (int, error) {
	n, err := l.Conn.Write(p)
	if err != nil {
		l.closeConn()
		<-l.readEnded
	}
	return n, err
}

// Close closes the connection in the background, because yamux calls it while the readers of streams spin.
func (l *earlyCloseConn) Close() error {
	l.endRead()
	go l.closeConn()
	return nil
}
