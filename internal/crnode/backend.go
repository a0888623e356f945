package crnode

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Headers of the HTTP interfaces; docs/interface.md describes them.
const (
	headerPrefix     = "Citronramp-"
	HeaderRequestID  = "Citronramp-Request-Id"
	HeaderDeadline   = "Citronramp-Deadline-Ms"
	HeaderContext    = "Citronramp-Context"
	HeaderCallKey    = "Citronramp-Call-Key"
	HeaderOutcome    = "Citronramp-Outcome"
	HeaderCode       = "Citronramp-Code"
	HeaderAttempts   = "Citronramp-Attempts"
	HeaderRetryAfter = "Citronramp-Retry-After-Ms"
)

// backendIdleConns bounds the kept connections to the backend server; a new one costs about 1 ms.
const backendIdleConns = 256

// backendConns bounds all connections to the backend server; small ones accept 180 to 600.
const backendConns = 400

// backend runs requests on the backend server beside this node.
type backend struct {
	client   *http.Client
	maxBytes int
}

func newBackend(maxBytes int) *backend {
	t := &http.Transport{
		MaxIdleConns:        backendIdleConns,
		MaxIdleConnsPerHost: backendIdleConns,
		MaxConnsPerHost:     backendConns,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &backend{client: &http.Client{Transport: t, CheckRedirect: noRedirect}, maxBytes: maxBytes}
}

// noRedirect hands a redirect to the caller as the answer that it is.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (b *backend) close() { b.client.CloseIdleConnections() }

// work is one request for the backend server.
type work struct {
	id          string
	kind        string
	contentType string
	body        []byte
	// left is the time that the run may take.
	left  time.Duration
	token string
}

// answer is what a call came to: a whole answer, or a refusal when the code's outcome is not Run.
type answer struct {
	code        crcode.Code
	detail      string
	retryAfter  time.Duration
	status      int
	contentType string
	body        []byte
	attempts    int
	reached     []string
}

func refusal(c crcode.Code, detail string) answer { return answer{code: c, detail: detail} }

// refusalOf turns an error into a refusal with the error's code.
func refusalOf(err error) answer {
	var e *crcode.Error
	if errors.As(err, &e) {
		return answer{code: e.Code, detail: e.Detail, retryAfter: e.RetryAfter}
	}
	return refusal(crcode.Internal, err.Error())
}

// run sends the work and reads the whole answer; the code tells apart not run, run and unknown.
func (b *backend) run(ctx context.Context, address string, w work) answer {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := url.URL{Scheme: "http", Host: address, Path: "/" + w.kind}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, target.String(), bytes.NewReader(w.body))
	if err != nil {
		return refusal(crcode.BadRequest, err.Error())
	}
	req.Header.Set(HeaderRequestID, w.id)
	req.Header.Set(HeaderContext, w.token)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(max(w.left.Milliseconds(), 1), 10))
	if w.contentType != "" {
		req.Header.Set("Content-Type", w.contentType)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return brokenRun(ctx, err, connected.Load())
	}
	defer resp.Body.Close()
	return b.read(ctx, resp, w.id)
}

// brokenRun classifies a run without an answer; only a run that never got a connection is certainly not run.
func brokenRun(ctx context.Context, err error, connected bool) answer {
	var op *net.OpError
	if !connected && errors.As(err, &op) && op.Op == "dial" {
		return refusal(crcode.NoServer, "the backend server does not accept connections")
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal(crcode.DeadlineRunning, "")
	case ctx.Err() != nil:
		return refusal(crcode.CancelledRun, "")
	}
	var network *net.OpError
	if errors.Is(err, io.EOF) || errors.As(err, &network) {
		return refusal(crcode.AnswerLost, err.Error())
	}
	// Other errors of net/http quote what the backend server sent, which may belong to another request.
	return refusal(crcode.AnswerLost, "the backend server did not answer in HTTP")
}

// read takes the whole answer or refuses it as truncated, too large or another request's.
func (b *backend) read(ctx context.Context, resp *http.Response, id string) answer {
	if got := resp.Header.Get(HeaderRequestID); got != "" && got != id {
		return refusal(crcode.AnswerLost, "the backend server answered another request")
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return refusal(crcode.AnswerTruncated, "the answer has neither Content-Length nor chunks")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(b.maxBytes)+1))
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal(crcode.DeadlineRunning, "")
	case ctx.Err() != nil:
		return refusal(crcode.CancelledRun, "")
	case err != nil:
		return refusal(crcode.AnswerTruncated, err.Error())
	case len(body) > b.maxBytes:
		return refusal(crcode.AnswerTooLarge, "")
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == crcode.NotRun.String() {
		return answer{code: crcode.ServerRefused, detail: deeperRefusal(resp.Header), retryAfter: retryAfter(resp.Header)}
	}
	return answer{code: crcode.OK, status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), body: body}
}

// deeperRefusal names the refused deeper call that a backend server passed on; another server would meet it too.
func deeperRefusal(h http.Header) string {
	code, err := strconv.ParseUint(h.Get(HeaderCode), 10, 16)
	if err != nil {
		return ""
	}
	return fmt.Sprintf("a deeper call was refused with code %d", code)
}

func retryAfter(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(HeaderRetryAfter), 10, 32)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// refuses reports whether nobody listens at the address; a server that is only slow to accept does not count.
func refuses(ctx context.Context, address string) bool {
	return errors.Is(dial(ctx, address), syscall.ECONNREFUSED)
}

// alive reports whether the backend server accepts a connection, to tell a crash from a broken connection.
func alive(ctx context.Context, address string) bool { return dial(ctx, address) == nil }

func dial(ctx context.Context, address string) error {
	var d net.Dialer
	ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
