package crcli_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crnode"
)

// backend is a stub backend server attached to a node. It puts the number of runs into each answer, so that a second run of
// one request is visible, and it can hold requests in flight until they are released.
type backend struct {
	name, service  string
	node, nodeName string
	nextKind       string
	ledger         *runCounter
	srv            *http.Server
	ln             net.Listener
	client         *http.Client
	quit           chan struct{}
	once           sync.Once
	wg             sync.WaitGroup

	mu           sync.Mutex
	state        string
	heldRequests int
	releaseHeld  chan struct{}
}

// runCounter counts the runs for each kind and request body over all backend servers of a session.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *runCounter) add(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.runs[what]++
	return l.runs[what]
}

// backendCommand implements the script command backend: backend start NAME SERVICE NODE [NEXT_SERVICE/KIND];
// backend hold|release|leave|stop NAME; backend revive NAME..., which restarts those that crashed.
func (s *session) backendCommand(args []string) error {
	s.write("> " + s.quoted("backend", args))
	if args[0] == "start" {
		b := &backend{
			name: args[1], service: args[2], node: s.addrs[args[3]+".listen"], nodeName: args[3], client: s.client,
			ledger: &s.runCounter, quit: make(chan struct{}), state: crnode.StateServing,
		}
		if len(args) > 4 {
			b.nextKind = args[4]
		}
		s.backends[b.name] = b
		return b.start(s.ip)
	}
	b := s.backends[args[1]]
	if b == nil {
		return fmt.Errorf("no backend server %s", args[1])
	}
	switch args[0] {
	case "hold":
		b.hold()
	case "release":
		b.release()
	case "leave":
		b.mu.Lock()
		b.state = crnode.StateLeaving
		b.mu.Unlock()
		b.announce()
	case "stop":
		b.stop()
	case "revive":
		return s.revive(args[1:])
	default:
		return fmt.Errorf("backend takes start, hold, release, leave, stop or revive, not %q", args[0])
	}
	return nil
}

// revive restarts those of the named backend servers that crashed, each as a new instance.
func (s *session) revive(names []string) error {
	for _, name := range names {
		b := s.backends[name]
		select {
		case <-b.quit:
		default:
			continue
		}
		b.stop()
		again := &backend{
			name: b.name + "-again", service: b.service, node: b.node, nodeName: b.nodeName, nextKind: b.nextKind, client: b.client, ledger: b.ledger,
			quit: make(chan struct{}), state: crnode.StateServing,
		}
		s.backends[name] = again
		if err := again.start(s.ip); err != nil {
			return err
		}
	}
	return nil
}

// backendState returns the number of requests that each named backend server holds, with the name of its node.
func (s *session) backendState(args []string) (string, error) {
	out := ""
	for _, name := range args {
		b := s.backends[name]
		b.mu.Lock()
		if b.heldRequests > 0 {
			out += fmt.Sprintf("%d held at %s\n", b.heldRequests, b.nodeName)
		}
		b.mu.Unlock()
	}
	return out, nil
}

func (b *backend) start(ip string) error {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	b.ln = ln
	b.srv = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: time.Second}
	b.wg.Add(2)
	go func() {
		defer b.wg.Done()
		_ = b.srv.Serve(ln)
	}()
	go func() {
		defer b.wg.Done()
		t := time.NewTicker(200 * time.Millisecond)
		defer t.Stop()
		for {
			b.announce()
			select {
			case <-b.quit:
				return
			case <-t.C:
			}
		}
	}()
	return nil
}

func (b *backend) announce() {
	b.mu.Lock()
	state := b.state
	b.mu.Unlock()
	body, err := json.Marshal(crnode.Announcement{
		Service: b.service, Address: b.ln.Addr().String(), Instance: b.name, Slots: 8, Connections: 100, State: state,
	})
	if err != nil {
		return
	}
	// The error is ignored: a node that is not running refuses the connection, and the next announcement retries.
	resp, err := b.client.Post("http://"+b.node+"/v1/announce", "application/json", bytes.NewReader(body))
	if err == nil {
		_ = resp.Body.Close()
	}
}

func (b *backend) hold() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseHeld = make(chan struct{})
}

func (b *backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.releaseHeld != nil {
		close(b.releaseHeld)
		b.releaseHeld = nil
	}
}

func (b *backend) stop() {
	b.once.Do(func() { close(b.quit) })
	b.release()
	_ = b.srv.Close()
	b.wg.Wait()
}

// crash closes the server without waiting for requests in flight, as a process crash does.
func (b *backend) crash() {
	b.once.Do(func() { close(b.quit) })
	_ = b.srv.Close()
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if bytes.Contains(body, []byte("crash")) {
		b.crash()
		return
	}
	kind := strings.TrimPrefix(r.URL.Path, "/")
	run := b.ledger.add(b.service + "/" + kind + " " + string(body))
	b.mu.Lock()
	holding := b.releaseHeld
	if holding != nil {
		b.heldRequests++
	}
	b.mu.Unlock()
	if holding != nil {
		<-holding
		b.mu.Lock()
		b.heldRequests--
		b.mu.Unlock()
	}
	deeper := ""
	if b.nextKind != "" {
		deeper = b.callNext(r, body)
	}
	_, _ = fmt.Fprintf(w, "%s/%s ran with %q, run %d%s\n", b.service, kind, body, run, deeper)
}

// callNext calls nextKind through the node of this backend server and returns the result code and the response body.
func (b *backend) callNext(r *http.Request, body []byte) string {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+b.node+"/v1/call/"+b.nextKind, bytes.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set(crnode.HeaderContext, r.Header.Get(crnode.HeaderContext))
	req.Header.Set(crnode.HeaderCallKey, "step-1")
	resp, err := b.client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return "; " + resp.Header.Get(crnode.HeaderCode) + ": " + strings.TrimSpace(string(answer))
}
