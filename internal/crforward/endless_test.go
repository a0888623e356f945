package crforward_test

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crroute"
)

// endlessMemory is how much more memory endless answers may take: half of the smallest limit of a node's process, 184 MB.
const endlessMemory = 92 << 20

// endlessAnswer writes start and then piece until the connection is closed, and counts the bytes.
func endlessAnswer(start, piece string, sent *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		id := r.Header.Get(headerNames.RequestID)
		for next := strings.ReplaceAll(start, "ID", headerNames.RequestID+": "+id); ; next = piece {
			n, err := c.Write([]byte(next))
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
}

// TestEndlessAnswers guards against a node that keeps all the bytes of a faulty server's endless answers until it runs out
// of memory, and against requests to other servers that fail meanwhile.
func TestEndlessAnswers(t *testing.T) {
	filler := strings.Repeat("x", 32<<10)
	for name, x := range map[string]struct{ start, piece string }{
		"no line":        {"", filler},
		"head":           {"HTTP/1.1 200 OK\r\nID\r\n", "X: " + filler[:1000] + "\r\n"},
		"chunked body":   {"HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + filler + "\r\n"},
		"unframed body":  {"HTTP/1.1 200 OK\r\nID\r\n\r\n", filler},
		"foreign answer": {"HTTP/1.1 200 OK\r\n" + headerNames.RequestID + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + filler + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			from, faulty, sound := c.addNode("ledger"), c.addNode("photos"), c.addNode("books")
			books := newRoute("/b/", "books", crroute.Repeatable)
			books.Timeout = 5 * time.Second
			c.putRoutes(3, 0, newRoute("/p/", "photos", crroute.Once), books)
			from.warmUp(t, "GET", "/b/w", sound)
			from.warmUp(t, "POST", "/p/w", faulty)
			var sent atomic.Int64
			faulty.backend.setHandler(endlessAnswer(x.start, x.piece, &sent))
			runtime.GC()
			var before, peak runtime.MemStats
			runtime.ReadMemStats(&before)
			var callers sync.WaitGroup
			for i := range 16 {
				callers.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
					defer cancel()
					// The client reads nothing; the answer piles up where it can.
					req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+from.entrance+"/p/x", nil)
					if err != nil {
						panic(err)
					}
					req.Host = "app.example"
					req.Header.Set(headerNames.RequestID, fmt.Sprintf("endless-%d", i))
					if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
						<-ctx.Done()
						_ = resp.Body.Close()
					}
				})
			}
			ended := make(chan struct{})
			go func() {
				callers.Wait()
				close(ended)
			}()
			for i, running := 0, true; running; i++ {
				select {
				case <-ended:
					running = false
				case <-time.After(20 * time.Millisecond):
				}
				var now runtime.MemStats
				runtime.ReadMemStats(&now)
				if now.HeapInuse > peak.HeapInuse {
					peak = now
				}
				resp, _, err := from.send(context.Background(), "GET", "/b/x", fmt.Sprintf("sound-%d", i), nil)
				qt.Check(t, err, qt.IsNil)
				if err == nil {
					qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
				}
			}
			grown := int64(peak.HeapInuse) - int64(before.HeapInuse)
			t.Logf("%d bytes were sent, the heap grew by %d", sent.Load(), grown)
			qt.Assert(t, sent.Load() > 0, qt.IsTrue)
			qt.Assert(t, grown < endlessMemory, qt.IsTrue)
		})
	}
}
