// Package cradmin serves the admin port of a process: expvar counters and a dump of its state, both as JSON.
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

// Dumper returns the state of a process as a value that encodes to JSON with snake_case keys and holds no secret.
type Dumper interface {
	Dump(now time.Time) any
}

const (
	// readHeaderTimeout keeps idle strangers from holding connections.
	readHeaderTimeout = 2 * time.Second
	// stopGrace bounds the wait for requests in flight at a stop.
	stopGrace = 2 * time.Second
)

// Admin is the HTTP server of the admin port.
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

// Serve answers on ln until ctx ends, then returns once the requests in flight are answered or stopGrace is over.
func Serve(ctx context.Context, ln net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		grace, cancel := context.WithTimeout(context.Background(), stopGrace)
		defer cancel()
		_ = srv.Shutdown(grace)
	})
	err := srv.Serve(ln)
	if !stop() {
		// Serve returns as soon as the shutdown begins, so the requests in flight are waited for here.
		<-done
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Listen opens the listeners of a process before any part of it runs.
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

// Unexpected reports whether the error with which a duty ended is news: a listener or server that was closed, or a duty
// that was cancelled, has ended as it should.
func Unexpected(err error) bool {
	return err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, context.Canceled)
}

// Await runs the waits one after the other and reports whether they ended within the limit; a stop must not hang on a
// peer that is silent.
func Await(limit time.Duration, waits ...func()) bool {
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

// Counters is a set of named expvar counters that belongs to one component, so that several can live in one process.
type Counters struct {
	vars expvar.Map
	// mu guards latencies, the number of histograms among vars.
	mu        sync.Mutex
	latencies int
}

// Add adds delta to the counter called name.
func (c *Counters) Add(name string, delta int64) { c.vars.Add(name, delta) }

// Observe adds a time to the histogram called name. A process has a bounded number of histograms; times for further ones
// are counted as latencies_dropped.
func (c *Counters) Observe(name string, d time.Duration) {
	h := c.latency(name)
	if h == nil {
		c.Add("latencies_dropped", 1)
		return
	}
	h.observe(d)
}

// Declare shows the counters called names from now on, also those that were never added to.
func (c *Counters) Declare(names ...string) {
	for _, n := range names {
		c.vars.Add(n, 0)
	}
}

// Gauge registers a value that is computed when the counters are read.
func (c *Counters) Gauge(name string, f func() any) { c.vars.Set(name, expvar.Func(f)) }

// Value returns the counter called name, 0 when it was never added to.
func (c *Counters) Value(name string) int64 {
	if v, ok := c.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// String returns the counters as a JSON object.
func (c *Counters) String() string { return c.vars.String() }

// Publish adds the counters to the process-wide expvar list under name; call it once for each name.
func (c *Counters) Publish(name string) { expvar.Publish(name, &c.vars) }
