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

// backend is a stand-in backend server beside a node. It counts runs, so that a second run of one request shows in the
// answer, and it can keep requests in flight until it is told to answer.
type backend struct {
	name, service string
	node, beside  string
	next          string
	ledger        *ledger
	srv           *http.Server
	ln            net.Listener
	client        *http.Client
	quit          chan struct{}
	once          sync.Once
	wg            sync.WaitGroup

	mu      sync.Mutex
	state   string
	held    int
	holding chan struct{}
}

// ledger counts the runs of each kind and body over all backend servers of a session.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) add(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.runs[what]++
	return l.runs[what]
}

// backendCommand handles: backend start NAME SERVICE NODE [NEXT_SERVICE/KIND], hold, release, leave and stop
// NAME, and revive NAME..., which starts the crashed ones again.
func (s *session) backendCommand(args []string) error {
	s.write("> " + s.quoted("backend", args))
	if args[0] == "start" {
		b := &backend{
			name: args[1], service: args[2], node: s.addrs[args[3]+".listen"], beside: args[3], client: s.client,
			ledger: &s.ledger, quit: make(chan struct{}), state: crnode.StateServing,
		}
		if len(args) > 4 {
			b.next = args[4]
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

// revive starts the crashed ones among some stand-ins again, each as a new instance.
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
			name: b.name + "-again", service: b.service, node: b.node, beside: b.beside, next: b.next, client: b.client, ledger: b.ledger,
			quit: make(chan struct{}), state: crnode.StateServing,
		}
		s.backends[name] = again
		if err := again.start(s.ip); err != nil {
			return err
		}
	}
	return nil
}

// backendState tells how many requests stand-ins hold, and beside which nodes.
func (s *session) backendState(args []string) (string, error) {
	out := ""
	for _, name := range args {
		b := s.backends[name]
		b.mu.Lock()
		if b.held > 0 {
			out += fmt.Sprintf("%d held at %s\n", b.held, b.beside)
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
	// A node that does not run yet, or no more, refuses the connection; the next announcement tries again.
	resp, err := b.client.Post("http://"+b.node+"/v1/announce", "application/json", bytes.NewReader(body))
	if err == nil {
		_ = resp.Body.Close()
	}
}

func (b *backend) hold() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holding = make(chan struct{})
}

func (b *backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holding != nil {
		close(b.holding)
		b.holding = nil
	}
}

func (b *backend) stop() {
	b.once.Do(func() { close(b.quit) })
	b.release()
	_ = b.srv.Close()
	b.wg.Wait()
}

// crash ends the server at once, as a process does that dies.
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
	holding := b.holding
	if holding != nil {
		b.held++
	}
	b.mu.Unlock()
	if holding != nil {
		<-holding
		b.mu.Lock()
		b.held--
		b.mu.Unlock()
	}
	deeper := ""
	if b.next != "" {
		deeper = b.deeper(r, body)
	}
	_, _ = fmt.Fprintf(w, "%s/%s ran with %q, run %d%s\n", b.service, kind, body, run, deeper)
}

// deeper calls the next service through the own node and returns its code and answer.
func (b *backend) deeper(r *http.Request, body []byte) string {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+b.node+"/v1/call/"+b.next, bytes.NewReader(body))
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
