// Package cradmin serves the admin port of a process, with expvar counters and a dump of its state as JSON, and holds helpers
// that processes need to start, log and stop.
package cradmin

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Dumper returns the state of a process as a value that encodes to JSON with snake_case keys and contains no secret.
type Dumper interface {
	Dump(now time.Time) any
}

const (
	// readHeaderTimeout closes connections on which a client does not send a request header in time.
	readHeaderTimeout = 2 * time.Second
	// idleTimeout exceeds the interval of any client that calls regularly.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is far above the heads of operators and servers.
	maxHeaderBytes = 64 << 10
	// stopGrace limits how long a stop waits for requests in flight.
	stopGrace = 2 * time.Second
)

// Admin provides the HTTP handler of the admin port.
type Admin struct {
	Dumper   Dumper
	Counters *Counters
}

// Handler returns the mux of the admin port: GET /debug/vars and GET /v1/dump.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(a.Counters.String() + "\n"))
	})
	mux.HandleFunc("GET /v1/dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		_ = enc.Encode(a.Dumper.Dump(time.Now()))
	})
	return mux
}

// attacher is a listener that follows the states of its connections.
type attacher interface{ Attach(s *http.Server) }

// Serve serves h on ln until ctx ends, and returns after the requests in flight have been answered or stopGrace has passed.
func Serve(ctx context.Context, ln net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	if a, ok := ln.(attacher); ok {
		a.Attach(srv)
	}
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		grace, cancel := context.WithTimeout(context.Background(), stopGrace)
		defer cancel()
		_ = srv.Shutdown(grace)
	})
	err := srv.Serve(ln)
	if !stop() {
		// http.Server.Serve returns as soon as the shutdown begins; wait here until the shutdown has finished.
		<-done
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Listen opens a TCP listener for each address. If one cannot be opened, it closes the others and returns an error.
func Listen(addresses ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, a := range addresses {
		ln, err := net.Listen("tcp", a)
		if err != nil {
			for _, open := range out {
				_ = open.Close()
			}
			return nil, fmt.Errorf("cannot listen on %s; another process may use it: %w", a, err)
		}
		out = append(out, ln)
	}
	return out, nil
}

// IsUnexpectedError reports whether the error with which a background task ended is a failure. Errors of a closed listener or server
// and of a cancelled context are part of a planned stop.
func IsUnexpectedError(err error) bool {
	return err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, context.Canceled)
}

// WaitWithin runs the waits one after the other and reports whether all of them returned within the limit. It keeps a stop from
// hanging on a peer that does not answer.
func WaitWithin(limit time.Duration, waits ...func()) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, w := range waits {
			w()
		}
	}()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Counters is the set of named expvar variables of one component. Each component has its own, so that several components can
// run in one process.
type Counters struct {
	vars expvar.Map
	// mu guards histograms, the number of histograms in vars.
	mu         sync.Mutex
	histograms int
}

// Add adds delta to the counter called name.
func (c *Counters) Add(name string, delta int64) { c.vars.Add(name, delta) }

// Observe records a latency in the histogram called name. The number of histograms is limited; latencies for further names are
// only counted, as latencies_dropped.
func (c *Counters) Observe(name string, d time.Duration) {
	h := c.histogram(name)
	if h == nil {
		c.Add("latencies_dropped", 1)
		return
	}
	h.observe(d)
}

// Declare creates the named counters with the value 0, so that they are shown before the first Add.
func (c *Counters) Declare(names ...string) {
	for _, n := range names {
		c.vars.Add(n, 0)
	}
}

// Gauge registers a value that f computes whenever the counters are read.
func (c *Counters) Gauge(name string, f func() any) { c.vars.Set(name, expvar.Func(f)) }

// Value returns the value of the counter called name, or 0 if it does not exist.
func (c *Counters) Value(name string) int64 {
	if v, ok := c.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// String returns the counters as a JSON object.
func (c *Counters) String() string { return c.vars.String() }

// Publish registers the counters with expvar under name. It must be called only once for each name.
func (c *Counters) Publish(name string) { expvar.Publish(name, &c.vars) }
