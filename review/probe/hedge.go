package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/citronramp/citronramp/pkg/crroute"
)

const (
	// usualWork is how long the servers work on a request, and stall the time for which both do not get on: the work takes
	// less than 12 times as long, the largest figure of srv_slow in the site file.
	usualWork = 50 * time.Millisecond
	stall     = 450 * time.Millisecond
	// pictureBytes is the size of the answers.
	pictureBytes = 400_000
	stalls       = 70
	lookClients  = 12
	// lookGap is the time between the clients' requests during a stall.
	lookGap = 20 * time.Millisecond
	// calmRequests is how many requests each client sends between two stalls.
	calmRequests = 8
)

// pausing is the work of two servers, which a stall of what both need holds up.
type pausing struct {
	mu    sync.Mutex
	going chan struct{}
}

func (p *pausing) work(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	going := p.going
	p.mu.Unlock()
	time.Sleep(usualWork)
	<-going
	w.Header().Set("Content-Length", fmt.Sprint(pictureBytes))
	// A caller that is gone needs no answer.
	_, _ = w.Write(bytes.Repeat([]byte("x"), pictureBytes))
}

// pause begins a stall and returns the function that ends it.
func (p *pausing) pause() (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.going = make(chan struct{})
	return sync.OnceFunc(func() { close(p.going) })
}

// hedgedAnswers lets clients read pictures while both servers of the service stall now and then, and counts the requests that
// servers ran and whose kept connection ended without a whole answer.
func hedgedAnswers(ctx context.Context, d *deployment, trouble bool) (broken int, err error) {
	work := &pausing{}
	work.pause()()
	first := &server{answer: work.work}
	front, err := d.startPair(ctx, first)
	if err != nil {
		return 0, err
	}
	second := &server{id: "i-picha2", rec: d.record, answer: work.work}
	if second.node, err = d.startNode("picha"); err == nil {
		err = second.start(ctx)
	}
	if err != nil {
		return 0, err
	}
	if err := d.configure(crroute.Route{
		Name: "photo-look", Host: host, Prefix: "/pictures/", Kind: crroute.Repeatable, Timeout: requestBudget, Target: 200 * time.Millisecond, MaxAttempts: 2,
		Shares: []crroute.Share{{Service: "picha", Weight: 1}},
	}); err != nil {
		return 0, err
	}
	d.record.add("SIGHUP to %s each %s", front.settings.NodeName, reloadInterval)
	go front.reloadEach(ctx, reloadInterval)
	clients := make([]*lookClient, lookClients)
	for i := range clients {
		clients[i] = &lookClient{d: d, number: i, address: front.settings.Listen.Outbound, servers: []*server{first, second}}
	}
	for round := 0; round < stalls && ctx.Err() == nil; round++ {
		lookAll(clients, calmRequests, 0)
		end := func() {}
		if trouble {
			end = work.pause()
		}
		timer := time.AfterFunc(stall, end)
		lookAll(clients, 1, lookGap)
		timer.Stop()
		end()
	}
	for _, c := range clients {
		broken += c.broken
	}
	return broken, nil
}

// lookAll lets all clients send some requests, one after the other. Each client begins somewhat later than the one before.
func lookAll(clients []*lookClient, requests int, gap time.Duration) {
	var wg sync.WaitGroup
	for i, c := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * gap)
			for range requests {
				c.look()
			}
		})
	}
	wg.Wait()
}

// lookClient is a client that keeps its connection.
type lookClient struct {
	d       *deployment
	number  int
	address string
	servers []*server

	sent, broken int
	conn         net.Conn
	in           *bufio.Reader
}

// look sends one request and reads its answer.
func (c *lookClient) look() {
	kept := c.conn != nil
	if !kept {
		conn, err := dialClient(c.address)
		if err != nil {
			c.d.record.add("client %d: %v", c.number, err)
			return
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	c.sent++
	r := request{id: fmt.Sprintf("%08x%08x", c.number+1, c.sent), method: http.MethodGet, path: fmt.Sprintf("/pictures/%x", c.sent), timeout: requestBudget}
	if err := send(c.conn, r); err != nil {
		c.drop()
		return
	}
	a := receive(c.in, r)
	if a.err == nil {
		c.d.record.add("client %d: %s: %d, %d bytes", c.number, r.id, a.status, a.bytes)
		return
	}
	runs := 0
	for _, s := range c.servers {
		runs += s.ran(r.id)
	}
	c.d.record.add("client %d: request %s on a kept connection: %t, runs: %d: %s", c.number, r.id, kept, runs, a)
	if kept && runs > 0 {
		c.broken++
	}
	c.drop()
}

func (c *lookClient) drop() {
	_ = c.conn.Close()
	c.conn = nil
}
