// Package crsoak is a soak test with fault injection. It runs the programs of the platform as processes on one machine
// together with simulated backend servers, clients and an operator, injects faults from outside by a seeded schedule, and
// checks the guarantees of the system ("promises") during the run.
package crsoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crpause"
)

// Soak is one soak run. Set the fields before Run.
type Soak struct {
	// Program is the path of the citronramp program, Dir an empty folder for settings, logs and data.
	Program, Dir string
	Seed         uint64
	// Duration is the time in which faults are injected; the start and the recovery take some additional seconds.
	Duration time.Duration
	// Network is the first three bytes of the loopback addresses of the run, such as "127.9.1".
	Network string
	// Crowd is the number of clients that misbehave at the listeners of all processes during the run.
	Crowd int
	Out   io.Writer
}

// Sizes of a run: three coordinators tolerate the loss of one, three servers of each service the loss of two.
const (
	coordinators = 3
	servers      = 3
	sidecars     = servers * 2
)

// Services and routes of the simulated backend servers. A "look" request causes a downstream call to the ledger service; a
// "record" request goes to the ledger service directly and must not be executed twice.
const (
	frontService  = "front"
	ledgerService = "ledger"
	host          = "soak.example"
	lookPath      = "/look/"
	recordPath    = "/record/"
	innerPath     = "/inner/"
)

// Time limits of a run.
const (
	// startLimit bounds the time until all nodes are ready; it is the platform's limit for the whole start.
	startLimit = 15 * time.Second
	// recoverLimit is the time after the last fault within which all entrances must serve again; the platform allows 15 s.
	recoverLimit = 15 * time.Second
	// requestTimeout is the deadline of clients' requests; an execution takes some milliseconds.
	requestTimeout = 1500 * time.Millisecond
	// graceTime is the platform's time between SIGTERM and SIGKILL.
	graceTime = 6 * time.Second
	// drainTime is the platform's limit for the time in which a server may still receive requests after the node has
	// confirmed that it is draining.
	drainTime = 2 * time.Second
)

// Result holds the counts and the violations of a run.
type Result struct {
	Requests, Answered, Refused, Failed, Versions int
	// Unread counts failed requests whose connections ended before a process read the request.
	Unread int
	// Late counts how often the crashing request reached a server after the time by which all nodes must block it.
	Late int
	// Broken holds the broken promises in the order of their detection.
	Broken []Broken
}

// Broken is a violation of a guarantee ("promise") of the system.
type Broken struct {
	At      time.Duration
	Promise string
	// Request is the request id by which lines of the logs can be found; it may be empty.
	Request string
	Detail  string
}

func (b Broken) String() string {
	return fmt.Sprintf("%.2f s: %s: %s %s", b.At.Seconds(), b.Promise, b.Request, b.Detail)
}

// run holds the processes, proxies and simulated parts of one run.
type run struct {
	*Soak
	start         time.Time
	promises      *promises
	nodes         []*process
	cores         []*process
	entrances     []*proxy
	serverProxies []*proxy
	seedProxies   []*proxy
	backends      []*backend
	operator      *operator
}

// Run injects the faults of the seed's schedule and returns the counts and violations. The error is not nil if the run could
// not be carried out.
func (s *Soak) Run(ctx context.Context) (Result, error) {
	plan, closing := Plan(s.Seed, s.Duration), Closing(s.Seed, s.Duration)
	_, _ = fmt.Fprintf(s.Out, "seed %d, %d faults in %s and a last one\n", s.Seed, len(plan), s.Duration)
	for _, a := range append(plan, closing) {
		_, _ = fmt.Fprintf(s.Out, "  %s\n", a)
	}
	r := &run{Soak: s, start: time.Now()}
	r.promises = newPromises(r.start)
	defer r.stop()
	if err := r.deploy(ctx); err != nil {
		return Result{}, err
	}
	r.start = time.Now()
	r.promises.setStart(r.start)
	clientsCtx, stopClients := context.WithCancel(ctx)
	var clients, faults sync.WaitGroup
	for i := range sidecars {
		for j := range clientsPerEntrance {
			c := r.newClient(i, j)
			clients.Go(func() { c.run(clientsCtx) })
		}
	}
	clients.Go(func() { r.operator.run(clientsCtx) })
	clients.Go(func() { r.sendCrashing(clientsCtx) })
	for i := range s.Crowd {
		clients.Go(func() { r.runCrowd(clientsCtx, i) })
	}
	clients.Go(func() { r.watchLimits(clientsCtx) })
	for _, a := range plan {
		if err := crpause.For(ctx, time.Until(r.start.Add(a.At))); err != nil {
			break
		}
		faults.Go(func() { r.playAction(ctx, a) })
	}
	faults.Wait()
	if ctx.Err() == nil {
		if err := r.injectClosing(ctx, closing); err != nil && ctx.Err() == nil {
			r.promises.report("soak", "", fmt.Sprintf("%s: %v", closing, err))
		}
		r.awaitRecovery(ctx)
		// The error is ignored: if ctx is cancelled, the run ends below.
		_ = crpause.For(ctx, crashAfterLastFault)
	}
	stopClients()
	clients.Wait()
	if ctx.Err() == nil {
		r.operator.checkFinal(ctx)
	}
	result := r.promises.result()
	result.Versions = int(r.operator.acknowledged())
	r.report(result)
	return result, ctx.Err()
}

func (r *run) report(result Result) {
	_, _ = fmt.Fprintf(r.Out, "%d requests: %d answered, %d refused, %d failed, of these %d unread; %d versions; %d late arrivals of the crashing request; %d promises broken\n",
		result.Requests, result.Answered, result.Refused, result.Failed, result.Unread, result.Versions, result.Late, len(result.Broken))
	for i, b := range result.Broken {
		if i == 10 {
			_, _ = fmt.Fprintf(r.Out, "and %d more\n", len(result.Broken)-i)
			break
		}
		_, _ = fmt.Fprintln(r.Out, b)
	}
	if len(result.Broken) > 0 {
		r.printLogLines(result.Broken[0])
	}
}

// awaitRecovery waits until every entrance has served several requests in a row.
func (r *run) awaitRecovery(ctx context.Context) {
	deadline := time.Now().Add(recoverLimit)
	for i := range sidecars {
		c := r.newClient(i, clientsPerEntrance)
		c.probe = true
		for good := 0; good < 5; {
			if c.sendOne(ctx) {
				good++
				continue
			}
			good = 0
			if time.Now().After(deadline) {
				r.promises.report("recovery", "", fmt.Sprintf("entrance %d serves nothing %s after the last fault", i, recoverLimit))
				return
			}
			if crpause.For(ctx, 100*time.Millisecond) != nil {
				return
			}
		}
	}
}

// maxLines bounds the log lines that are printed for a broken promise.
const maxLines = 40

// printLogLines prints the lines of all logs that contain the request id of the broken promise.
func (r *run) printLogLines(b Broken) {
	if b.Request == "" {
		return
	}
	logs, err := filepath.Glob(filepath.Join(r.Dir, "*.log"))
	if err != nil {
		_, _ = fmt.Fprintln(r.Out, err)
		return
	}
	printed := 0
	for _, name := range logs {
		text, err := os.ReadFile(name)
		if err != nil {
			_, _ = fmt.Fprintln(r.Out, err)
			continue
		}
		printed += printLines(r.Out, string(text), b.Request, maxLines-printed)
	}
}

// callTimeout is the platform's time limit for calls of servers and operators.
const callTimeout = time.Second

// callPlatform makes one call of the platform's interface and returns the status and the body of the answer.
func callPlatform(ctx context.Context, method, address, target string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}
