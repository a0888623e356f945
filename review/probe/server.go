package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crforward"
	"github.com/citronramp/citronramp/platform"
)

// Names of headers that only servers use.
const stampHeader = "Server-Stamp"

// server is a sound application server beside a node.
type server struct {
	node *machine
	id   string
	rec  *record
	// answer writes the answer to a request whose body was read.
	answer func(w http.ResponseWriter, req *http.Request)
	// read reads the body of a request; nil means at once.
	read func(body io.Reader) (int64, error)

	mu       sync.Mutex
	sequence uint64
	born     time.Time
	runs     map[string]int
}

// start listens at the address of the server and begins its heartbeats, which end with ctx.
func (s *server) start(ctx context.Context) error {
	ln, err := net.Listen("tcp", s.node.settings.AppAddress)
	if err != nil {
		return err
	}
	s.born, s.runs = time.Now(), map[string]int{}
	h := &http.Server{Handler: s, IdleTimeout: time.Minute}
	go func() { _ = h.Serve(ln) }()
	go func() {
		for ctx.Err() == nil {
			s.beat(ctx)
			time.Sleep(heartbeat)
		}
		_ = h.Close()
	}()
	return nil
}

func (s *server) beat(ctx context.Context) {
	s.mu.Lock()
	s.sequence++
	report := crforward.Report{
		ID: s.id, Service: s.node.settings.Service, Address: s.node.settings.AppAddress, Born: s.born, Sequence: s.sequence, Slots: 64,
	}
	s.mu.Unlock()
	target, body, err := platform.EncodeHeartbeat(report, s.node.settings.Zone)
	if err == nil {
		// A heartbeat that is lost is followed by the next one.
		_, _, _ = call(ctx, http.MethodPost, s.node.settings.Listen.Control, target, body)
	}
}

func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	names := platform.RequestHeaders()
	id := req.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if want := req.Header.Get(names.ExpectServer); want != "" && want != s.id {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.rec.add("server %s runs %s %s %s", s.id, id, req.Method, req.RequestURI)
	read := s.read
	if read == nil {
		read = func(body io.Reader) (int64, error) { return io.Copy(io.Discard, body) }
	}
	if n, err := read(req.Body); err != nil {
		s.rec.add("server %s: body of %s ended after %d bytes: %v", s.id, id, n, err)
		return
	}
	w.Header().Set(stampHeader, fmt.Sprintf("%s.%s", s.id, id))
	s.answer(w, req)
}
