package crexchange_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crexchange"
)

// earlyAnswers is how often a race between the upload and the reset is repeated; a read that misses the reset shows within
// some dozen attempts.
const earlyAnswers = 300

// serveEarly answers each request after its head, without reading the body. It sends the parts with pauses, and then
// resets the connection or, if orderly is set, reads the whole upload and closes the connection.
func serveEarly(t *testing.T, orderly bool, parts ...string) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				head := make([]byte, 256)
				if _, err := c.Read(head); err != nil {
					return
				}
				for _, p := range parts {
					if _, err := io.WriteString(c, p); err != nil {
						return
					}
					time.Sleep(time.Millisecond)
				}
				if orderly {
					// The client ends its upload when it closes the connection.
					_, _ = io.Copy(io.Discard, c)
					return
				}
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return ln
}

// endlessUpload is a request body that is still being written when the answer ends.
type endlessUpload struct{ left int }

func (u *endlessUpload) Read(p []byte) (int, error) {
	if u.left -= len(p); u.left < 0 {
		return 0, io.EOF
	}
	return len(p), nil
}

// upload sends a long body and returns what came back as the answer.
func upload(t *testing.T, ln net.Listener, length int64) (string, error) {
	t.Helper()
	c := &crexchange.Client{Address: ln.Addr().String()}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, &crexchange.Request{
		Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {"a"}}, Body: &endlessUpload{left: 64 << 20}, Length: length,
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestEarlyAnswerReset guards against an answer without a length that is taken as complete although the server reset the
// connection: the write of the upload gets the error of the reset, and the read only sees the end of the connection.
func TestEarlyAnswerReset(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"
	for name, length := range map[string]int64{"length": 64 << 20, "chunks": -1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln := serveEarly(t, false, head, strings.Repeat("x", 3000))
			for i := range earlyAnswers {
				body, err := upload(t, ln, length)
				qt.Assert(t, err, qt.IsNotNil, qt.Commentf("attempt %d: %d bytes of a cut answer were taken as complete", i, len(body)))
			}
		})
	}
}

// TestStatusOutOfRange guards against an answer whose status is no HTTP status and that is passed on as an answer.
func TestStatusOutOfRange(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "099", "600", "999", "1000", "-20", "20"} {
		for _, method := range []string{"GET", "HEAD"} {
			t.Run(method+" "+status, func(t *testing.T) {
				t.Parallel()
				s := serve(t, fmt.Sprintf("HTTP/1.1 %s Odd\r\nId: ID\r\nContent-Length: 2\r\n\r\nok", status))
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				_, err := client(s).Do(ctx, &crexchange.Request{Method: method, Target: "/x", Host: "h", Header: http.Header{"Id": {"a"}}})
				qt.Assert(t, err, qt.IsNotNil)
				qt.Assert(t, err, qt.Not(qt.ErrorIs), crexchange.ErrNotSent)
			})
		}
	}
}

// TestAnswerWithoutBody guards against answers that never have a body being refused with those that lack a length.
func TestAnswerWithoutBody(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"204 No Content", "304 Not Modified"} {
		ln := serveEarly(t, false, "HTTP/1.1 "+status+"\r\nId: a\r\n\r\n")
		body, err := upload(t, ln, 64<<20)
		if err == nil {
			qt.Assert(t, body, qt.Equals, "")
		}
	}
}
