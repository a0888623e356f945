package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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
	length := ""
	if r.method == http.MethodPost {
		length = "Content-Length: 4\r\n"
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n", r.method, r.path, routeHost, headerID, r.id, headerTimeout, r.budget.Milliseconds(), length)
	if length != "" {
		head += "sack"
	}
	if _, out.err = io.WriteString(c, head); out.err != nil {
		return out
	}
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
	switch {
	case err != nil:
		out.err = fmt.Errorf("after %d bytes of the body: %w", len(body), err)
	case out.status == http.StatusOK && string(body) != answer(r.id, size):
		out.err = fmt.Errorf("%d bytes that are not the answer", len(body))
	}
	return out
}

// describe returns the result as a line of the record.
func (r result) describe() string {
	if r.err != nil {
		return fmt.Sprintf("client %s: no complete answer (status %d) %.3f s after it was sent: %v", r.id, r.status, time.Since(r.sentAt).Seconds(), r.err)
	}
	return fmt.Sprintf("client %s: %d, server's own %t, after %.3f s", r.id, r.status, r.stamped, time.Since(r.sentAt).Seconds())
}
