package cradmin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log/level"
	"go.uber.org/goleak"

	"github.com/citronramp/citronramp/internal/cradmin"
)

type state struct{}

func (state) Dump(now time.Time) any {
	return struct {
		At time.Time `json:"at"`
	}{now}
}

// TestHandler guards against pages of the admin port that are missing, are not JSON, or accept methods other than GET.
func TestHandler(t *testing.T) {
	c := qt.New(t)
	var counters cradmin.Counters
	counters.Declare("refused", "requests")
	counters.Add("requests", 2)
	counters.Gauge("limit", func() any { return 7 })
	h := (&cradmin.Admin{Dumper: state{}, Counters: &counters}).Handler()
	get := func(method, path string) (int, map[string]any) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		var body map[string]any
		_ = json.Unmarshal(w.Body.Bytes(), &body)
		return w.Code, body
	}
	code, body := get(http.MethodGet, "/debug/vars")
	c.Assert(code, qt.Equals, http.StatusOK)
	c.Assert(body, qt.DeepEquals, map[string]any{"refused": 0.0, "requests": 2.0, "limit": 7.0})
	code, body = get(http.MethodGet, "/v1/dump")
	c.Assert(code, qt.Equals, http.StatusOK)
	at, err := time.Parse(time.RFC3339Nano, body["at"].(string))
	c.Assert(err, qt.IsNil)
	c.Assert(at.IsZero(), qt.IsFalse)
	for _, path := range []string{"/debug/vars", "/v1/dump"} {
		code, _ = get(http.MethodPost, path)
		c.Assert(code, qt.Equals, http.StatusMethodNotAllowed)
	}
	code, _ = get(http.MethodGet, "/")
	c.Assert(code, qt.Equals, http.StatusNotFound)
}

// TestCounters guards against counters of two components that share a value.
func TestCounters(t *testing.T) {
	c := qt.New(t)
	var a, b cradmin.Counters
	a.Add("runs", 3)
	a.Add("runs", -1)
	c.Assert(a.Value("runs"), qt.Equals, int64(2))
	c.Assert(b.Value("runs"), qt.Equals, int64(0))
	a.Declare("runs")
	c.Assert(a.Value("runs"), qt.Equals, int64(2))
}

// TestServeStops guards against a stop that aborts a request in flight or leaves the port open.
func TestServeStops(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	entered, release := make(chan struct{}), make(chan struct{})
	served := make(chan error, 1)
	go func() {
		served <- cradmin.Serve(ctx, ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(entered)
			<-release
			_, _ = io.WriteString(w, "whole")
		}))
	}()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer := make(chan string, 1)
	go func() {
		resp, err := client.Get("http://" + ln.Addr().String())
		if err != nil {
			answer <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		answer <- string(b)
	}()
	<-entered
	cancel()
	for refused := 0; refused < 50; {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			refused++
		} else {
			_ = conn.Close()
		}
		select {
		case err := <-served:
			c.Fatalf("Serve returned while a request was in flight: %v", err)
		default:
		}
	}
	close(release)
	c.Assert(<-answer, qt.Equals, "whole")
	c.Assert(<-served, qt.IsNil)
}

// TestLogger guards against debug lines in a log at level info, and against lines without timestamp or level.
func TestLogger(t *testing.T) {
	c := qt.New(t)
	lines := func(logLevel string) []string {
		var b bytes.Buffer
		l := cradmin.NewLogger(&b, logLevel)
		c.Assert(level.Debug(l).Log("msg", "small"), qt.IsNil)
		c.Assert(level.Info(l).Log("msg", "two words"), qt.IsNil)
		return strings.Split(strings.TrimSpace(b.String()), "\n")
	}
	info := lines("info")
	c.Assert(info, qt.HasLen, 1)
	c.Assert(info[0], qt.Matches, `level=info ts=\S+Z msg="two words"`)
	c.Assert(lines("debug"), qt.HasLen, 2)
}

// TestUnexpected guards against a failed background task that is not reported, and against reports for each task that ends in a
// planned stop.
func TestUnexpected(t *testing.T) {
	c := qt.New(t)
	for _, err := range []error{nil, context.Canceled, http.ErrServerClosed, fmt.Errorf("accept: %w", net.ErrClosed)} {
		c.Check(cradmin.IsUnexpectedError(err), qt.IsFalse, qt.Commentf("%v", err))
	}
	c.Check(cradmin.IsUnexpectedError(context.DeadlineExceeded), qt.IsTrue)
}

// TestListen guards against listeners that stay open after another listener of the process could not be opened.
func TestListen(t *testing.T) {
	c := qt.New(t)
	lns, err := cradmin.Listen("127.0.0.1:0", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	free, taken := lns[0].Addr().String(), lns[1].Addr().String()
	c.Assert(lns[0].Close(), qt.IsNil)
	_, err = cradmin.Listen(free, taken)
	c.Assert(err, qt.ErrorMatches, "cannot listen on "+taken+".*")
	again, err := net.Listen("tcp", free)
	c.Assert(err, qt.IsNil)
	c.Assert(again.Close(), qt.IsNil)
	c.Assert(lns[1].Close(), qt.IsNil)
}
