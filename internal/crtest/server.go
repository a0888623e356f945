package crtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crnode"
	"github.com/citronramp/citronramp/internal/crpause"
)

// RunCounter counts the executions of requests at the backend servers.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRunCounter returns an empty ledger.
func NewRunCounter() *RunCounter { return &RunCounter{runs: map[string]int{}} }

func (l *RunCounter) add(keys ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range keys {
		l.runs[k]++
	}
}

// Count returns how many executions of a kind belong to a root request id; an empty kind counts the executions of all kinds.
func (l *RunCounter) Count(kind, root string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[kind+" "+root]
}

// Server is a backend server whose behaviour the test defines.
type Server struct {
	Name    string
	Address string

	cluster              *Cluster
	spec                 Service
	node                 string
	instance             string
	handle               atomic.Pointer[func(*Run)]
	state                atomic.Value
	announcementsStopped atomic.Bool
	ln                   net.Listener
	srv                  *http.Server
	client               *http.Client
	cancel               context.CancelFunc
	wg                   sync.WaitGroup
	stopped              atomic.Bool
}

// Run is one execution of a request at a backend server.
type Run struct {
	W      http.ResponseWriter
	R      *http.Request
	ID     string
	Kind   string
	Body   []byte
	Server *Server
}

var instanceCount atomic.Int64

func startServer(k *Cluster, spec Service, node, name string, handle func(*Run)) *Server {
	ln := k.listen()
	s := &Server{
		Name: name, Address: ln.Addr().String(), cluster: k, spec: spec, node: node, instance: fmt.Sprintf("%s-%d", name, instanceCount.Add(1)), ln: ln,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	s.handle.Store(&handle)
	s.state.Store(crnode.StateServing)
	s.srv = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 5 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Add(2)
	go func() {
		defer s.wg.Done()
		_ = s.srv.Serve(ln)
	}()
	go func() {
		defer s.wg.Done()
		crpause.Every(ctx, 200*time.Millisecond, func() {
			if !s.announcementsStopped.Load() {
				s.announce(ctx)
			}
		})
	}()
	return s
}

// Handle replaces the request handler of the server.
func (s *Server) Handle(f func(*Run)) { s.handle.Store(&f) }

// StopAnnouncing stops the periodic announcements to the node, as if they were lost.
func (s *Server) StopAnnouncing() { s.announcementsStopped.Store(true) }

// AnnounceLeaving announces to the node that the server takes no new requests.
func (s *Server) AnnounceLeaving() {
	s.state.Store(crnode.StateLeaving)
	s.announce(context.Background())
}

// Crash closes the server and its connections at once; a handler of the server may call it.
func (s *Server) Crash() {
	if s.stopped.Swap(true) {
		return
	}
	s.cancel()
	_ = s.srv.Close()
}

// Stopped reports whether the server has crashed or stopped.
func (s *Server) Stopped() bool { return s.stopped.Load() }

// Kill closes the server at once and waits for its goroutines.
func (s *Server) Kill() {
	s.Crash()
	s.wg.Wait()
	s.client.CloseIdleConnections()
}

// Stop is a graceful stop: it announces that the server leaves and waits for the requests in flight.
func (s *Server) Stop() {
	s.AnnounceLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), Deadline)
	defer cancel()
	s.cluster.C.Check(s.srv.Shutdown(ctx), qt.IsNil)
	s.stopped.Store(true)
	s.cancel()
	s.wg.Wait()
	s.client.CloseIdleConnections()
}

func (s *Server) announce(ctx context.Context) {
	state, _ := s.state.Load().(string)
	body, _ := json.Marshal(crnode.Announcement{
		Service: s.spec.Name, Address: s.Address, Instance: s.instance, Slots: s.spec.Slots, Connections: 100, State: state,
	})
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.node+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := s.client.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := &Run{W: w, R: r, ID: r.Header.Get(crnode.HeaderRequestID), Kind: s.spec.Name + r.URL.Path, Body: body, Server: s}
	s.cluster.Runs.add(" "+run.Root(), run.Kind+" "+run.Root(), run.Kind+" "+s.Name)
	(*s.handle.Load())(run)
}

// Root returns the id of the caller's request, from which this one descends.
func (r *Run) Root() string {
	root, _, _ := strings.Cut(r.ID, "/")
	return root
}

// ExpectedAnswer returns the body of the only correct answer to a caller's request.
func ExpectedAnswer(id string, body []byte) string {
	return fmt.Sprintf("answer to %s of %d bytes, checksum %08x", id, len(body), crc32.ChecksumIEEE(body))
}

// Answer writes the complete answer.
func (r *Run) Answer() { _, _ = io.WriteString(r.W, ExpectedAnswer(r.ID, r.Body)) }

// Crash crashes the server while it executes this request.
func (r *Run) Crash() {
	go r.Server.Crash()
	<-r.R.Context().Done()
	panic(http.ErrAbortHandler)
}

// Flush sends the part of the answer that is written so far.
func (r *Run) Flush() error { return http.NewResponseController(r.W).Flush() }

// Drop closes the connection without an answer; the server keeps running.
func (r *Run) Drop() { panic(http.ErrAbortHandler) }

// CallDownstream makes one downstream call through the local node of the server.
func (r *Run) CallDownstream(kind, key string) Reply {
	h := http.Header{crnode.HeaderContext: {r.R.Header.Get(crnode.HeaderContext)}}
	if key != "" {
		h.Set(crnode.HeaderCallKey, key)
	}
	return sendOnce(r.R.Context(), r.Server.client, r.Server.node, kind, h, r.Body)
}

// Refuse answers that this request was not executed, because a downstream call was refused with the code.
func (r *Run) Refuse(code string) {
	r.W.Header().Set(crnode.HeaderOutcome, "not_run")
	if code != "" {
		r.W.Header().Set(crnode.HeaderCode, code)
	}
	r.W.WriteHeader(http.StatusServiceUnavailable)
}
