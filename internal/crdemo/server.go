package crdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/internal/crnode"
	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Work describes what a backend server does for one kind.
type Work struct {
	// Time is how long the request holds a slot before its deeper calls.
	Time time.Duration
	// Calls are made one after another; each failed one fails the request.
	Calls []DeepCall
}

// DeepCall is a call to a deeper service.
type DeepCall struct {
	Service string
	Kind    string
	// Key names the call under its root request, for kinds that may not be repeated.
	Key string
}

// Ledger records what every stand-in server ran, so that promises can be checked after a session.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
	deep map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string]int), deep: make(map[string]int)} }

// started counts a run of a request id under its root.
func (l *Ledger) started(service, kind, id string) {
	root, _, _ := strings.Cut(id, "/")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[service+"/"+kind+" "+id]++
	l.deep[root]++
}

// undone takes back a run that the server refused without any effect.
func (l *Ledger) undone(service, kind, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[service+"/"+kind+" "+id]--
}

// Runs returns how often a request id was run for a kind, runs without effect left out.
func (l *Ledger) Runs(service, kind, id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[service+"/"+kind+" "+id]
}

// Doubles returns how many ids of a kind were started more than once.
func (l *Ledger) Doubles(service, kind string) int {
	prefix := service + "/" + kind + " "
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for k, c := range l.runs {
		if c > 1 && strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

// Steps returns how many runs, at any depth, were started for a root request.
func (l *Ledger) Steps(root string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deep[root]
}

// Server is a stand-in backend server: a set of slots, a service time for each kind, and deeper calls through its node.
type Server struct {
	Service string
	// Node is the HTTP address of the node beside this server.
	Node        string
	Slots       int
	Connections int
	Kinds       map[string]Work
	Ledger      *Ledger
	// Instance changes each time the server starts.
	Instance string
	// Crash, when set, makes the server die when it runs a body that contains it.
	Crash []byte

	slowdown atomic.Int64
	state    atomic.Value
	running  atomic.Int64
	queued   atomic.Int64
	slots    chan struct{}
	client   *http.Client
	ln       net.Listener
	srv      *http.Server
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// announceInterval is how often the stand-in renews its announcement.
const announceInterval = 500 * time.Millisecond

// Start listens on a loopback port and begins to announce the server.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("start stand-in server: %w", err)
	}
	s.ln = ln
	s.slowdown.Store(1)
	s.state.Store(crnode.StateServing)
	s.slots = make(chan struct{}, s.Slots)
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Connections, MaxConnsPerHost: s.Connections, MaxIdleConns: s.Connections}}
	s.srv = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 2 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Add(2)
	go func() {
		defer s.wg.Done()
		_ = s.srv.Serve(ln)
	}()
	go func() {
		defer s.wg.Done()
		crpause.Every(ctx, announceInterval, func() { s.announce(ctx) })
	}()
	return nil
}

// Address returns the IP number and port of the server.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Slow multiplies the service time of every kind by factor; 1 is the normal speed.
func (s *Server) Slow(factor int) { s.slowdown.Store(int64(factor)) }

// Leave announces that the server takes no new work.
func (s *Server) Leave() {
	s.state.Store(crnode.StateLeaving)
	s.announce(context.Background())
}

// Kill ends the server at once and cuts off its requests.
func (s *Server) Kill() {
	s.cancel()
	_ = s.srv.Close()
	s.client.CloseIdleConnections()
}

// Stop ends the server after its requests in flight.
func (s *Server) Stop(ctx context.Context) error {
	s.Leave()
	err := s.srv.Shutdown(ctx)
	s.cancel()
	s.wg.Wait()
	s.client.CloseIdleConnections()
	return err
}

// Wait returns when the goroutines of a killed server have ended.
func (s *Server) Wait() { s.wg.Wait() }

func (s *Server) announce(ctx context.Context) {
	state, _ := s.state.Load().(string)
	body, err := json.Marshal(crnode.Announcement{
		Service: s.Service, Address: s.Address(), Instance: s.Instance, Slots: s.Slots, Connections: s.Connections,
		Load: float64(s.running.Load()) / float64(s.Slots), State: state,
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Node+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// serve runs one request: wait for a slot, work, call deeper services, answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	kind := strings.TrimPrefix(r.URL.Path, "/")
	work, ok := s.Kinds[kind]
	if !ok {
		http.Error(w, "no such kind", http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.takeSlot(r.Context()) {
		return
	}
	defer func() { <-s.slots }()
	s.running.Add(1)
	defer s.running.Add(-1)
	id := r.Header.Get(crnode.HeaderRequestID)
	s.Ledger.started(s.Service, kind, id)
	if len(s.Crash) > 0 && bytes.Contains(body, s.Crash) {
		go s.Kill()
		<-r.Context().Done()
		return
	}
	if crpause.For(r.Context(), work.Time*time.Duration(s.slowdown.Load())) != nil {
		return
	}
	for i, c := range work.Calls {
		if err := s.deeper(r, c, body); err != nil {
			s.fail(w, err, i == 0, func() { s.Ledger.undone(s.Service, kind, id) })
			return
		}
	}
	out := answerFor(id, body)
	w.Header().Set(crnode.HeaderRequestID, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out)
}

// answerFor is the answer that belongs to an id and a body, so that a caller can check that it got its own and all of it.
func answerFor(id string, body []byte) []byte {
	return fmt.Appendf(nil, "answer to %s of %d bytes, checksum %08x\n", id, len(body), crc32.ChecksumIEEE(body))
}

func (s *Server) takeSlot(ctx context.Context) bool {
	s.queued.Add(1)
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return ctx.Err() == nil || s.releaseSlot()
	case <-ctx.Done():
		return false
	}
}

func (s *Server) releaseSlot() bool {
	<-s.slots
	return false
}

// refused is a deeper call without a whole answer.
type refused struct {
	call       DeepCall
	code       string
	outcome    string
	retryAfter string
}

func (e *refused) Error() string {
	return fmt.Sprintf("%s/%s: code %s, %s", e.call.Service, e.call.Kind, e.code, e.outcome)
}

// fail answers for a failed deeper call; when it was the first and was not run, this request had no effect either.
func (s *Server) fail(w http.ResponseWriter, err error, first bool, undo func()) {
	var r *refused
	if !errors.As(err, &r) || !first || r.outcome != crcode.NotRun.String() {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	undo()
	w.Header().Set(crnode.HeaderOutcome, r.outcome)
	w.Header().Set(crnode.HeaderCode, r.code)
	w.Header().Set(crnode.HeaderRetryAfter, r.retryAfter)
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

// deeper makes one call through the node beside this server and wants a whole answer.
func (s *Server) deeper(parent *http.Request, c DeepCall, body []byte) error {
	req, err := http.NewRequestWithContext(parent.Context(), http.MethodPost,
		"http://"+s.Node+"/v1/call/"+c.Service+"/"+c.Kind, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(crnode.HeaderContext, parent.Header.Get(crnode.HeaderContext))
	if c.Key != "" {
		req.Header.Set(crnode.HeaderCallKey, c.Key)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		h := resp.Header
		return &refused{call: c, code: h.Get(crnode.HeaderCode), outcome: h.Get(crnode.HeaderOutcome), retryAfter: h.Get(crnode.HeaderRetryAfter)}
	}
	return nil
}
