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

// HTTP headers of the caller and backend server interfaces; see docs/interface.md.
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

// backendIdleConns bounds the idle connections to the backend server; opening a new one costs about 1 ms.
const backendIdleConns = 256

// backendConns bounds all connections to the backend server; small servers accept 180 to 600.
const backendConns = 400

// backend sends requests to the backend server beside this node.
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

// noRedirect returns a redirect to the caller as the answer, instead of following it.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (b *backend) close() { b.client.CloseIdleConnections() }

// backendRequest is one request to the backend server.
type backendRequest struct {
	id          string
	kind        string
	contentType string
	body        []byte
	// remaining is the time until the deadline of the run.
	remaining time.Duration
	token     string
}

// answer is the result of a call: a complete answer, or a refusal when the outcome of the code is not Run.
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

// refusalFromError returns a refusal with the code of the error.
func refusalFromError(err error) answer {
	var e *crcode.Error
	if errors.As(err, &e) {
		return answer{code: e.Code, detail: e.Detail, retryAfter: e.RetryAfter}
	}
	return refusal(crcode.Internal, err.Error())
}

// run sends the request and reads the complete answer. The code of the result tells whether the request was not run, was
// run, or may have been run.
func (b *backend) run(ctx context.Context, address string, w backendRequest) answer {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := url.URL{Scheme: "http", Host: address, Path: "/" + w.kind}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, target.String(), bytes.NewReader(w.body))
	if err != nil {
		return refusal(crcode.BadRequest, err.Error())
	}
	req.Header.Set(HeaderRequestID, w.id)
	req.Header.Set(HeaderContext, w.token)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(max(w.remaining.Milliseconds(), 1), 10))
	if w.contentType != "" {
		req.Header.Set("Content-Type", w.contentType)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return classifyFailedRun(ctx, err, connected.Load())
	}
	defer resp.Body.Close()
	return b.read(ctx, resp, w.id)
}

// classifyFailedRun returns the refusal for a run without an answer. Only a run that never got a connection is known not
// to have run.
func classifyFailedRun(ctx context.Context, err error, connected bool) answer {
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
	// Other errors of net/http quote bytes of the backend server, which may belong to another request.
	return refusal(crcode.AnswerLost, "the backend server did not answer in HTTP")
}

// minStatus and maxStatus bound the status codes of HTTP.
const minStatus, maxStatus = 100, 599

// read reads the whole answer. It refuses an answer that is truncated, too large or for another request.
func (b *backend) read(ctx context.Context, resp *http.Response, id string) answer {
	if got := resp.Header.Get(HeaderRequestID); got != "" && got != id {
		return refusal(crcode.AnswerLost, "the backend server answered another request")
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return refusal(crcode.AnswerLost, "the status of the answer is out of range")
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
		return answer{code: crcode.ServerRefused, detail: downstreamRefusalDetail(resp.Header), retryAfter: retryAfter(resp.Header)}
	}
	return answer{code: crcode.OK, status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), body: body}
}

// downstreamRefusalDetail describes the refused downstream call that the backend server reported. Another server of the
// same service would be refused too.
func downstreamRefusalDetail(h http.Header) string {
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

// refusesConnections reports whether no process listens at the address. A server that is only slow to accept does not
// count.
func refusesConnections(ctx context.Context, address string) bool {
	return errors.Is(dial(ctx, address), syscall.ECONNREFUSED)
}

// acceptsConnections reports whether the backend server accepts a connection, to distinguish a crash from a broken
// connection.
func acceptsConnections(ctx context.Context, address string) bool { return dial(ctx, address) == nil }

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
