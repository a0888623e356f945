package crforward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crroute"
)

// echo starts a server that answers each request at once with its id, at little cost of its own.
func echo(b *testing.B) net.Listener {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				id := ""
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					if name, v, ok := strings.Cut(strings.TrimSpace(line), ": "); ok && name == headerNames.RequestID {
						id = v
					}
					if line == "\r\n" {
						if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nServer-Load: 3,0,8\r\nContent-Length: 300\r\n\r\n%300s", headerNames.RequestID, id, "x"); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	return ln
}

// BenchmarkHop measures a call from an entrance to the server of another node; client and server are cheap.
func BenchmarkHop(b *testing.B) {
	c := newCluster(b)
	from := c.addNode("ledger")
	c.server = echo(b).Addr().String()
	c.addNode("photos")
	c.putRoutes(3, 0, newRoute("/r/", "photos", crroute.Repeatable))
	from.waitForStatus(b, "/r/warm", http.StatusOK)
	const callers = 8
	one := requestHead("GET", "/r/some/longer/path", "9c41d07be2a35f68", 5*time.Second)
	b.ReportAllocs()
	b.ResetTimer()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			conn, err := net.Dial("tcp", from.entrance)
			if err != nil {
				b.Error(err)
				return
			}
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			for range b.N / callers {
				if _, err := io.WriteString(conn, one); err != nil {
					b.Error(err)
					return
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Error(err)
					return
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
					b.Error(resp.StatusCode, err)
					return
				}
			}
		})
	}
	wg.Wait()
}
