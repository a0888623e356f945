package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// connection is a connection of a client to the node on its machine; it carries one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(m *machine) (*connection, error) {
	c, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// request is one client attempt. With pause the client reads the first bytes of the answer's body, waits for that time and
// reads on.
type request struct {
	id, method, path string
	budget           time.Duration
	pause            time.Duration
	// body is the body of a POST, in chunks if chunked is set; nil stands for a short one.
	body    []byte
	chunked bool
}

// result is what the client saw. err says why there is no complete answer.
type result struct {
	request
	sentAt  time.Time
	status  int
	stamped bool
	closes  bool
	err     error
}

// firstBytes is what a slow client reads before its pause.
const firstBytes = 16 << 10

// exchange sends a request and reads its answer.
func (c *connection) exchange(r request) (out result) {
	out.request, out.sentAt = r, time.Now()
	_ = c.SetDeadline(out.sentAt.Add(r.budget + time.Second))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		// A node that answers early may stop reading; the answer decides.
		_ = c.send(r)
	}()
	defer func() {
		_ = c.SetWriteDeadline(time.Now())
		<-sent
	}()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		out.err = err
		return out
	}
	out.status, out.stamped, out.closes = resp.StatusCode, resp.Header.Get(headerStamp) != "", resp.Close
	body := make([]byte, 0, 1<<10)
	if r.pause > 0 {
		first := make([]byte, firstBytes)
		n, err := io.ReadFull(resp.Body, first)
		if body = append(body, first[:n]...); err != nil {
			out.err = err
			return out
		}
		time.Sleep(r.pause)
	}
	rest, err := io.ReadAll(resp.Body)
	body = append(body, rest...)
	_, size := orders(r.path)
	if strings.HasPrefix(r.path, "/early/") {
		size = earlyBytes + lastBytes
	}
	switch {
	case err != nil:
		out.err = fmt.Errorf("after %d bytes of the body: %w", len(body), err)
	case out.status == http.StatusOK && string(body) != answer(r.id, size):
		out.err = fmt.Errorf("%d bytes that are not the answer", len(body))
	}
	return out
}

// send writes the request. A body in chunks is written in pieces of chunkBytes.
func (c *connection) send(r request) error {
	framing := ""
	if r.method == http.MethodPost {
		if r.body == nil {
			r.body = []byte("sack")
		}
		framing = fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
		if r.chunked {
			framing = "Transfer-Encoding: chunked\r\n"
		}
	}
	w := bufio.NewWriter(c)
	_, _ = fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n", r.method, r.path, routeHost, headerID, r.id, headerTimeout, r.budget.Milliseconds(), framing)
	if !r.chunked {
		_, _ = w.Write(r.body)
		return w.Flush()
	}
	for piece := range slices.Chunk(r.body, chunkBytes) {
		_, _ = fmt.Fprintf(w, "%x\r\n", len(piece))
		_, _ = w.Write(piece)
		_, _ = w.WriteString("\r\n")
	}
	_, _ = w.WriteString("0\r\n\r\n")
	return w.Flush()
}

// chunkBytes is the size of a chunk.
const chunkBytes = 16 << 10

// describe returns the result as a line of the record.
func (r result) describe() string {
	if r.err != nil {
		return fmt.Sprintf("client %s: no complete answer (status %d) %.3f s after it was sent: %v", r.id, r.status, time.Since(r.sentAt).Seconds(), r.err)
	}
	return fmt.Sprintf("client %s: %d, server's own %t, after %.3f s", r.id, r.status, r.stamped, time.Since(r.sentAt).Seconds())
}
