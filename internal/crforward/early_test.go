package crforward_test

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

	"github.com/citronramp/citronramp/pkg/crroute"
)

// writeAndReset hijacks the connection, writes the parts with pauses and resets the connection, without reading the rest
// of the request.
func writeAndReset(parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		for _, p := range parts {
			p = strings.ReplaceAll(p, "ID", headerNames.RequestID+": "+r.Header.Get(headerNames.RequestID))
			if _, err := io.WriteString(c, p); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// TestEarlyAnswerReset guards against an answer without a length that a client gets as complete although the server reset
// the connection during the upload, for uploads that are buffered and uploads that are streamed, and for answers of both
// kinds.
func TestEarlyAnswerReset(t *testing.T) {
	c := newCluster(t)
	from, faulty := c.addNode("ledger"), c.addNode("photos")
	c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Upload))
	from.warmUp(t, "POST", "/p/w", faulty)
	for _, upload := range []int{300 << 10, 900 << 10} {
		for _, answer := range []int{3000, 100 << 10} {
			t.Run(fmt.Sprintf("%d KiB answered with %d bytes", upload>>10, answer), func(t *testing.T) {
				faulty.backend.setHandler(writeAndReset("HTTP/1.1 200 OK\r\nID\r\n\r\n", strings.Repeat("x", answer)))
				for i := range 20 {
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					resp, body, err := from.send(ctx, "POST", "/p/x", fmt.Sprintf("early-%d-%d-%d", upload, answer, i), strings.NewReader(strings.Repeat("u", upload)))
					cancel()
					if err == nil {
						qt.Assert(t, resp.StatusCode >= 500, qt.IsTrue, qt.Commentf("%d with %d bytes of a cut answer", resp.StatusCode, len(body)))
						qt.Assert(t, resp.StatusCode, qt.Not(qt.Equals), http.StatusServiceUnavailable, qt.Commentf("the request may have run"))
					}
				}
			})
		}
	}
}

// TestStatusOutOfRange guards against an answer whose status HTTP does not define and that a client gets as an answer.
func TestStatusOutOfRange(t *testing.T) {
	c := newCluster(t)
	from, faulty := c.addNode("ledger"), c.addNode("photos")
	c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Once))
	from.warmUp(t, "POST", "/p/w", faulty)
	for _, status := range []string{"000", "099", "600", "1000"} {
		faulty.backend.setHandler(writeAndReset("HTTP/1.1 " + status + " Odd\r\nID\r\nContent-Length: 2\r\n\r\nok"))
		resp, _, err := from.send(t.Context(), "POST", "/p/x", "status-"+status, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("status %s", status))
	}
}
