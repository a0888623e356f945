package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// slots is the number of requests that a server runs at once.
const slots = 56

// server is an application server beside a node. A path "/x/WORK/BYTES/..." asks for the work in milliseconds and the size
// of the answer.
type server struct {
	machine  *machine
	id       string
	born     int64
	listener net.Listener
	http     http.Server
	stopBeat context.CancelFunc

	mu       sync.Mutex
	sequence int
	runs     []run
	uploads  []upload
	// calls collects the calls that the server makes while it runs a request of the route "chain".
	calls results
}

// run is one request that the server began to run.
type run struct {
	id           string
	began, ended time.Time
}

func startServer(m *machine) (*server, error) {
	now := time.Now()
	s := &server{machine: m, calls: results{record: m.fleet.record}, id: fmt.Sprintf("i-%x", now.UnixNano()&0xffffffff), born: now.UnixMilli()}
	var err error
	if s.listener, err = net.Listen("tcp", m.address(portServer)); err != nil {
		return nil, err
	}
	s.http.Handler = http.HandlerFunc(s.serve)
	s.http.IdleTimeout = 10 * time.Second
	go func() { _ = s.http.Serve(s.listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.stopBeat = cancel
	go s.beat(ctx)
	return s, nil
}

// beat sends a heartbeat at each interval, and again soon while none is acknowledged.
func (s *server) beat(ctx context.Context) {
	for ctx.Err() == nil {
		pause := heartbeat
		if status, err := s.send(s.heartbeat()); err != nil || status/100 != 2 {
			pause = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// heartbeat returns the body of the next heartbeat.
func (s *server) heartbeat() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	// Encoding strings and numbers cannot fail.
	b, _ := json.Marshal(map[string]any{
		"service": s.machine.service, "address": s.machine.address(portServer), "zone": s.machine.zone, "version": "v1", "slots": slots,
		"state": "ready", "cold-remaining": "0ms", "sequence": s.sequence, "born": s.born,
	})
	return b
}

// send sends a heartbeat to the node beside the server.
func (s *server) send(body []byte) (int, error) {
	return post(s.machine.address(portControl), "/rpc?call=instances.heartbeat&of="+s.id, body)
}

// deregister sends the server's word that it leaves, and no heartbeat after it.
func (s *server) deregister() (int, error) {
	s.stopBeat()
	return post(s.machine.address(portControl), "/rpc?call=instances.deregister&of="+s.id, []byte(fmt.Sprintf(`{"born":%d}`, s.born)))
}

func (s *server) stop() {
	s.stopBeat()
	_ = s.http.Close()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	w.Header().Set("Instance-Id", s.id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if want := r.Header.Get(headerExpect); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i := s.begin(id)
	s.machine.fleet.record.printf("run %s begins at %s", id, s.machine.name)
	if strings.HasPrefix(r.URL.Path, "/early/") {
		s.serveEarly(w, r)
		s.finish(i, "early")
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	work, size := orders(r.URL.Path)
	timeout, err := strconv.Atoi(r.Header.Get(headerTimeout))
	if err != nil {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := time.Duration(timeout) * time.Millisecond
	if strings.HasPrefix(r.URL.Path, "/chain/") {
		go s.makeCalls(r.Context(), id, min(work, limit))
	}
	select {
	case <-time.After(min(work, limit)):
	case <-r.Context().Done():
		s.finish(i, "dropped, its connection was closed")
		return
	}
	w.Header().Set(headerStamp, "3e1b.07.5a2.600.0."+id)
	if work > limit {
		s.finish(i, "504, the time budget has passed")
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	s.finish(i, "200")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = io.WriteString(w, answer(id, size))
}

func (s *server) begin(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run{id: id, began: time.Now()})
	return len(s.runs) - 1
}

func (s *server) finish(i int, how string) {
	s.mu.Lock()
	s.runs[i].ended = time.Now()
	id := s.runs[i].id
	s.mu.Unlock()
	s.machine.fleet.record.printf("run %s ends at %s: %s", id, s.machine.name, how)
}

// ran returns the runs so far.
func (s *server) ran() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// orders returns the work and the size of the answer that a path asks for.
func orders(path string) (work time.Duration, size int) {
	parts := strings.Split(strings.Trim(path, "/"), "/")
	if len(parts) < 3 {
		return 10 * time.Millisecond, 100
	}
	ms, err := strconv.Atoi(parts[1])
	if err != nil {
		return 10 * time.Millisecond, 100
	}
	if size, err = strconv.Atoi(parts[2]); err != nil {
		size = 100
	}
	return time.Duration(ms) * time.Millisecond, size
}

// answer returns the body that belongs to a request.
func answer(id string, size int) string {
	return strings.Repeat(id+"\n", size/(len(id)+1)+1)[:size]
}

// Sizes of the answer of an early server: what it sends before it has read the body, and what it sends after it.
const (
	earlyBytes = 100 << 10
	lastBytes  = 30 << 10
)

// serveEarly answers an upload before it has read the body, reads on, and ends its answer after the body. The body of an
// upload counts up (see countingBody), so the server sees whether each byte is the one that the client sent there.
func (s *server) serveEarly(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerStamp, "3e1b.07.5a2.600.0."+id)
	w.Header().Set("Content-Length", strconv.Itoa(earlyBytes+lastBytes))
	// The standard server would read the body itself before it answers.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		return
	}
	body := answer(id, earlyBytes+lastBytes)
	_, _ = io.WriteString(w, body[:earlyBytes])
	_ = http.NewResponseController(w).Flush()
	n, wrongAt, err := checkCounting(r.Body)
	s.mu.Lock()
	s.uploads = append(s.uploads, upload{id, n, wrongAt, err})
	s.mu.Unlock()
	s.machine.fleet.record.printf("upload %s at %s: %d bytes, first byte that is not the client's at %d, end of the body: %v", id, s.machine.name, n, wrongAt, err)
	_, _ = io.WriteString(w, body[earlyBytes:])
}

// upload is what the server received of the body of an upload; wrongAt is -1 if every byte was the client's, and err is nil if
// the body looked complete.
type upload struct {
	id      string
	bytes   int
	wrongAt int
	err     error
}

// countingBody returns a body in which the four bytes at each multiple of four hold their position.
func countingBody(size int) []byte {
	b := make([]byte, size)
	for i := 0; i+4 <= size; i += 4 {
		binary.BigEndian.PutUint32(b[i:], uint32(i))
	}
	return b
}

// checkCounting reads a counting body and returns its size, the position of the first wrong byte and the error at its end.
func checkCounting(r io.Reader) (n, wrongAt int, err error) {
	got, err := io.ReadAll(r)
	want := countingBody(len(got) / 4 * 4)
	for i := range want {
		if got[i] != want[i] {
			return len(got), i, err
		}
	}
	return len(got), -1, err
}

// callWork is the path of a call, which runs for 300 ms.
const callWork = "/record/300/100/"

// makeCalls makes one call after the other through the node beside the server, as long as the request runs.
func (s *server) makeCalls(ctx context.Context, id string, limit time.Duration) {
	end := time.Now().Add(limit)
	for i := 0; ctx.Err() == nil && time.Now().Before(end); i++ {
		q := request{id: fmt.Sprintf("%s-call-%d", id, i), method: http.MethodPost, path: callWork + strconv.Itoa(i), budget: time.Until(end)}
		s.machine.fleet.record.printf("the server beside %s sends the call %s", s.machine.name, q.id)
		s.calls.add(once(s.machine, q))
	}
}
