package crsoak

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crforward"
	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/platform"
)

// serverHeader is the header by which clients recognise answers of the simulated backend servers.
const serverHeader = "Soak-Server"

// Settings of the simulated backend servers.
const (
	serverSlots       = 20
	heartbeatInterval = 500 * time.Millisecond
	// executionTime is how long an execution takes; downstream calls take additional time.
	executionTime = 10 * time.Millisecond
)

// backend is a simulated backend server, which may be started several times, each time as a new lifetime.
type backend struct {
	service, zone string
	// listen is the address on which the server listens, announced the address at which its node reaches it, control the
	// node's address for heartbeats, and entrance the node's address for calls.
	listen, announced, control, entrance string
	// proxy is the proxy that listens on the announced address; it doesn't listen while the server is down.
	proxy    *proxy
	promises *promises

	mu         sync.Mutex
	lifetime   *lifetime
	count      int
	isShutDown bool
}

// lifetime is the time from one start of a backend server to its end.
type lifetime struct {
	backend *backend
	server  *http.Server
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu     sync.Mutex
	report crforward.Report
	// drainConfirmed is when the node confirmed that the server is draining; zero before that.
	drainConfirmed time.Time
}

// expectedAnswer returns the body of the correct answer to a request.
func expectedAnswer(id string, body []byte) string {
	sum := sha256.Sum256(append([]byte(id+"\n"), body...))
	return hex.EncodeToString(sum[:])
}

// start starts a new lifetime, unless the server is running or has ended for good.
func (b *backend) start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lifetime != nil || b.isShutDown {
		return nil
	}
	ln, err := net.Listen("tcp", b.listen)
	if err == nil && b.count > 0 {
		err = b.proxy.listenAgain()
	}
	if err != nil {
		return err
	}
	b.count++
	ctx, cancel := context.WithCancel(context.Background())
	l := &lifetime{backend: b, cancel: cancel, report: crforward.Report{
		ID: fmt.Sprintf("%s-%s-%d", b.service, b.listen, b.count), Service: b.service, Address: b.announced, Born: time.Now(), Slots: serverSlots,
	}}
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve)}
	b.lifetime = l
	go func() {
		// Serve ends with the lifetime.
		_ = l.server.Serve(ln)
	}()
	l.done.Go(func() { crpause.Every(ctx, heartbeatInterval, func() { l.announce(ctx) }) })
	return nil
}

// current returns the running lifetime, or nil if there is none.
func (b *backend) current() *lifetime {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lifetime
}

// crash ends the running lifetime at once.
func (b *backend) crash() { b.endLifetime(b.current()) }

// endLifetime ends lifetime l at once if it is the running one, and reports whether it was.
func (b *backend) endLifetime(l *lifetime) bool {
	b.mu.Lock()
	present := l != nil && b.lifetime == l
	if present {
		b.lifetime = nil
		b.proxy.stopListening()
	}
	b.mu.Unlock()
	if present {
		l.cancel()
		_ = l.server.Close()
		l.done.Wait()
	}
	return present
}

// shutDown stops the server permanently.
func (b *backend) shutDown() {
	b.mu.Lock()
	b.isShutDown = true
	b.mu.Unlock()
	b.crash()
}

// drain announces that the server is draining, keeps serving for the time d, deregisters the server and ends it.
func (b *backend) drain(ctx context.Context, d time.Duration) error {
	l := b.current()
	if l == nil {
		return nil
	}
	l.mu.Lock()
	l.report.Draining = true
	l.mu.Unlock()
	l.announce(ctx)
	err := crpause.For(ctx, d)
	l.mu.Lock()
	target, body, encodeErr := platform.EncodeDeregistration(l.report)
	l.mu.Unlock()
	if err == nil && encodeErr == nil {
		_, _, _ = callPlatform(ctx, http.MethodPost, b.control, target, body) // the server ends even if the node does not answer
	}
	b.endLifetime(l)
	return err
}

// announce sends one heartbeat to the node; it is not repeated if the node does not answer.
func (l *lifetime) announce(ctx context.Context) {
	l.mu.Lock()
	l.report.Sequence++
	report := l.report
	l.mu.Unlock()
	target, body, err := platform.EncodeHeartbeat(report, l.backend.zone)
	if err != nil {
		l.backend.promises.report("soak", "", err.Error())
		return
	}
	status, _, err := callPlatform(ctx, http.MethodPost, l.backend.control, target, body)
	if err != nil || status != http.StatusOK || !report.Draining {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drainConfirmed.IsZero() {
		l.drainConfirmed = time.Now()
	}
}

func (l *lifetime) serve(w http.ResponseWriter, req *http.Request) {
	now, names := time.Now(), platform.RequestHeaders()
	id := req.Header.Get(names.RequestID)
	w.Header().Set(serverHeader, l.backend.listen)
	w.Header().Set(names.RequestID, id)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the caller closed the connection
	}
	l.mu.Lock()
	if !l.drainConfirmed.IsZero() && now.Sub(l.drainConfirmed) > drainTime {
		l.backend.promises.report("drain", id, fmt.Sprintf("arrives %s after the confirmation", now.Sub(l.drainConfirmed)))
	}
	l.mu.Unlock()
	once := strings.HasPrefix(req.URL.Path, recordPath)
	repeat := strings.HasPrefix(req.URL.Path, innerPath) && !strings.HasSuffix(id, firstRunSuffix)
	run := l.backend.promises.recordRun(now, l.backend.service, id, once, repeat)
	if strings.HasPrefix(req.URL.Path, crashPath) {
		l.backend.promises.recordCrashing(now, id)
		go l.crashAndRestart()
		<-req.Context().Done()
		return
	}
	time.Sleep(executionTime)
	if strings.HasPrefix(req.URL.Path, lookPath) && !l.callLedger(req, fmt.Sprintf("%s.%d", id, run), now) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, expectedAnswer(id, body)) // the caller may have closed the connection
}

// firstRunSuffix is the suffix of the id of a downstream call that is made by the first execution of its request; each
// execution uses another suffix.
const firstRunSuffix = ".1"

// callLedger makes the downstream call to the ledger service and reports whether it was answered. The call gets the time
// that is left of the parent's deadline.
func (l *lifetime) callLedger(parent *http.Request, id string, began time.Time) bool {
	names := platform.RequestHeaders()
	left, err := strconv.Atoi(parent.Header.Get(names.Timeout))
	if err != nil {
		return false
	}
	r := request{id: id, method: http.MethodGet, path: innerPath, left: time.Duration(left)*time.Millisecond - time.Since(began)}
	got := r.send(parent.Context(), http.DefaultClient, "http://"+l.backend.entrance)
	if got.outcome == outcomeRefused {
		l.backend.promises.recordNotRun(time.Now(), r.id)
	}
	return got.outcome == outcomeAnswered
}
