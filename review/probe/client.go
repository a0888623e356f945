package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/citronramp/citronramp/platform"
)

// request is one attempt of a client.
type request struct {
	id, method, path string
	body             io.Reader
	length           int64
	timeout          time.Duration
}

// answer is what a client got; err says why there is no complete answer.
type answer struct {
	status  int
	stamped bool
	bytes   int64
	err     error
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, from a server: %t, %d bytes, error: %v", a.status, a.stamped, a.bytes, a.err)
}

// dialClient opens a connection of a client.
func dialClient(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, time.Second)
}

// send writes the head and the body of a request.
func send(c net.Conn, r request) error {
	names := platform.RequestHeaders()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, host, names.RequestID, r.id, names.Timeout, r.timeout.Milliseconds())
	if r.body != nil {
		head += fmt.Sprintf("Content-Length: %d\r\n", r.length)
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil || r.body == nil {
		return err
	}
	_, err := io.Copy(c, r.body)
	return err
}

// receive reads an answer.
func receive(in *bufio.Reader, r request) answer {
	resp, err := http.ReadResponse(in, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, stamped: resp.Header.Get(stampHeader) != ""}
	a.bytes, a.err = io.Copy(io.Discard, resp.Body)
	return a
}
