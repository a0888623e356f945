package crwire

import (
	"net"
	"sync"
)

// line is a connection below yamux. When a yamux session ends it wakes the readers of its streams first, then closes the
// connection and only after that marks the streams as closed; in between the readers spin, and a
// process with one processor may get no further. A line is closed before yamux learns of any error, and yamux ends on
// the goroutine that reads, so that nothing waits in between.
type line struct {
	net.Conn
	cutOnce, endOnce sync.Once
	// ended is closed when no more is read.
	ended chan struct{}
}

func newLine(conn net.Conn) *line { return &line{Conn: conn, ended: make(chan struct{})} }

// cut closes the connection; the reading goroutine of yamux then ends the session.
func (l *line) cut() { l.cutOnce.Do(func() { _ = l.Conn.Close() }) }

func (l *line) end() { l.endOnce.Do(func() { close(l.ended) }) }

// Read closes the connection at its first error.
func (l *line) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	if err != nil {
		l.cut()
		l.end()
	}
	return n, err
}

// Write closes the connection at its first error and leaves the end of the session to the reading goroutine.
func (l *line) Write(p []byte) (int, error) {
	n, err := l.Conn.Write(p)
	if err != nil {
		l.cut()
		<-l.ended
	}
	return n, err
}

// Close is called by yamux while the readers of streams spin, so it does not wait.
func (l *line) Close() error {
	l.end()
	go l.cut()
	return nil
}
