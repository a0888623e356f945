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

// Work describes the execution of one request kind at a backend server.
type Work struct {
	// Time is the service time before the downstream calls; the request holds a slot also during these calls.
	Time time.Duration
	// Calls are the downstream calls, made one after another; if one fails, the request fails.
	Calls []DownstreamCall
}

// DownstreamCall is a call to a service that is deeper in the call graph.
type DownstreamCall struct {
	Service string
	Kind    string
	// Key identifies the call within its root request; it is needed for kinds that must not be repeated.
	Key string
}

// RunCounter counts the executions at all simulated servers, so that guarantees can be checked after a run.
type RunCounter struct {
	mu         sync.Mutex
	runs       map[string]int
	runsByRoot map[string]int
}

// NewRunCounter returns an empty counter.
func NewRunCounter() *RunCounter {
	return &RunCounter{runs: make(map[string]int), runsByRoot: make(map[string]int)}
}

// recordRun counts an execution of a request id, for its kind and for its root request.
func (l *RunCounter) recordRun(service, kind, id string) {
	root, _, _ := strings.Cut(id, "/")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[service+"/"+kind+" "+id]++
	l.runsByRoot[root]++
}

// removeRun removes an execution that the server refused without any effect from the count of its kind.
func (l *RunCounter) removeRun(service, kind, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[service+"/"+kind+" "+id]--
}

// Runs returns how often a request id of a kind was executed, without the executions that had no effect.
func (l *RunCounter) Runs(service, kind, id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[service+"/"+kind+" "+id]
}

// DoubleRuns returns how many request ids of a kind were executed more than once.
func (l *RunCounter) DoubleRuns(service, kind string) int {
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

// RunsOfRoot returns how many executions, at all depths of the call graph, were started for a root request.
func (l *RunCounter) RunsOfRoot(root string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsByRoot[root]
}

// Server is a simulated backend server: a set of slots, a service time for each kind, and downstream calls through its node.
type Server struct {
	Service string
	// Node is the HTTP address of the server's local node.
	Node        string
	Slots       int
	Connections int
	Kinds       map[string]Work
	Runs        *RunCounter
	// Instance identifies this start of the server; each start has another one.
	Instance string
	// CrashMarker, if set, makes the server crash when it executes a request whose body contains it.
	CrashMarker []byte

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

// announceInterval is the interval at which the server repeats its announcement.
const announceInterval = 500 * time.Millisecond

// Start listens on a loopback port and starts to announce the server to its node.
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

// SetSlowdown multiplies the service time of every kind by factor; 1 is the normal speed.
func (s *Server) SetSlowdown(factor int) { s.slowdown.Store(int64(factor)) }

// Leave announces to the node that the server takes no new requests.
func (s *Server) Leave() {
	s.state.Store(crnode.StateLeaving)
	s.announce(context.Background())
}

// Kill closes the server at once, together with the connections of its requests in flight.
func (s *Server) Kill() {
	s.cancel()
	_ = s.srv.Close()
	s.client.CloseIdleConnections()
}

// Stop announces that the server leaves, waits for its requests in flight and ends the server.
func (s *Server) Stop(ctx context.Context) error {
	s.Leave()
	err := s.srv.Shutdown(ctx)
	s.cancel()
	s.wg.Wait()
	s.client.CloseIdleConnections()
	return err
}

// Wait waits until the goroutines of a killed server have ended.
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

// serve executes one request: it waits for a slot, for the service time and for the downstream calls, and answers.
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
	s.Runs.recordRun(s.Service, kind, id)
	if len(s.CrashMarker) > 0 && bytes.Contains(body, s.CrashMarker) {
		go s.Kill()
		<-r.Context().Done()
		return
	}
	if crpause.For(r.Context(), work.Time*time.Duration(s.slowdown.Load())) != nil {
		return
	}
	for i, c := range work.Calls {
		if err := s.callDownstream(r, c, body); err != nil {
			s.answerFailure(w, err, i == 0, func() { s.Runs.removeRun(s.Service, kind, id) })
			return
		}
	}
	out := expectedAnswer(id, body)
	w.Header().Set(crnode.HeaderRequestID, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out)
}

// expectedAnswer returns the answer to a request with the given id and body. It depends on both, so that a caller can
// detect a truncated answer and one to another request.
func expectedAnswer(id string, body []byte) []byte {
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

// downstreamError is the error of a downstream call that was not answered with status 200.
type downstreamError struct {
	call       DownstreamCall
	code       string
	outcome    string
	retryAfter string
}

func (e *downstreamError) Error() string {
	return fmt.Sprintf("%s/%s: code %s, %s", e.call.Service, e.call.Kind, e.code, e.outcome)
}

// answerFailure answers a request whose downstream call failed. If that call was the first one and was not executed, this
// request had no effect either and is answered as not executed.
func (s *Server) answerFailure(w http.ResponseWriter, err error, first bool, undo func()) {
	var r *downstreamError
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

// callDownstream makes one downstream call through the local node; it returns an error unless the status is 200.
func (s *Server) callDownstream(parent *http.Request, c DownstreamCall, body []byte) error {
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
		return &downstreamError{call: c, code: h.Get(crnode.HeaderCode), outcome: h.Get(crnode.HeaderOutcome), retryAfter: h.Get(crnode.HeaderRetryAfter)}
	}
	return nil
}
