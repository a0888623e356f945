package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/citronramp/citronramp/pkg/crroute"
)

const (
	// failureBytes is the size of a server's failures: a page with the trace of the error.
	failureBytes   = 300_000
	failingPath    = "/routes/fails"
	goodRequests   = 600
	failedRequests = 12
)

// failedAnswers reads routes on kept connections, some of which the server answers with 500 and a large page, and counts those whose
// connection ends without the server's whole answer.
func failedAnswers(ctx context.Context, d *deployment, trouble bool) (broken int, err error) {
	page := failureBytes
	if !trouble {
		page = 1000
	}
	if err := d.startCores(); err != nil {
		return 0, err
	}
	n, err := d.startNode("njia")
	if err != nil {
		return 0, err
	}
	s := &server{node: n, id: "i-njia1", rec: d.record, answer: func(w http.ResponseWriter, req *http.Request) {
		size := 1500
		if strings.HasPrefix(req.RequestURI, failingPath) {
			w.Header().Set("Content-Length", fmt.Sprint(page))
			w.WriteHeader(http.StatusInternalServerError)
			size = page
		}
		// A caller that is gone needs no answer.
		_, _ = w.Write(bytes.Repeat([]byte("x"), size))
	}}
	if err := s.start(ctx); err != nil {
		return 0, err
	}
	if err := d.configure(crroute.Route{
		Name: "route-look", Host: host, Prefix: "/routes/", Kind: crroute.Repeatable, Timeout: requestBudget, Target: 1500 * time.Millisecond, MaxAttempts: 2,
		Shares: []crroute.Share{{Service: "njia", Weight: 1}},
	}); err != nil {
		return 0, err
	}
	d.record.add("SIGHUP to %s each %s", n.settings.NodeName, reloadInterval)
	go n.reloadEach(ctx, reloadInterval)
	client := &routeClient{d: d, server: s, address: n.settings.Listen.Outbound}
	for i := range goodRequests {
		path := "/routes"
		if i%(goodRequests/failedRequests) == goodRequests/failedRequests-1 {
			path = failingPath
		}
		if err := client.read(i, path); err != nil {
			return client.broken, err
		}
		time.Sleep(20 * time.Millisecond)
	}
	return client.broken, nil
}

// routeClient is a client that keeps its connection.
type routeClient struct {
	d       *deployment
	server  *server
	address string
	conn    net.Conn
	in      *bufio.Reader
	broken  int
}

// read sends a request, and counts it if the server ran it and the connection ended without a whole answer.
func (c *routeClient) read(number int, path string) (err error) {
	kept := c.conn != nil
	if !kept {
		if c.conn, err = dialClient(c.address); err != nil {
			return err
		}
		c.in = bufio.NewReader(c.conn)
	}
	r := request{id: fmt.Sprintf("%016x", number+1), method: http.MethodGet, path: fmt.Sprintf("%s/%x", path, number), timeout: requestBudget}
	if err := send(c.conn, r); err != nil {
		return err
	}
	a := receive(c.in, r)
	c.d.record.add("request %s on a kept connection: %t, runs: %d: %s", r.id, kept, c.server.ran(r.id), a)
	if a.err != nil {
		if kept && c.server.ran(r.id) > 0 {
			c.broken++
		}
		_ = c.conn.Close()
		c.conn = nil
	}
	return nil
}
