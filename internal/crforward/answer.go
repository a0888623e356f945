package crforward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// writeAnswer forwards a server's answer to the client. If the body ends early, it aborts the connection, so that the
// client never takes a truncated answer for a complete one.
func writeAnswer(w http.ResponseWriter, r *reply) {
	h := w.Header()
	for k, v := range r.header {
		h[k] = v
	}
	if _, ok := r.header["Date"]; !ok {
		h["Date"] = nil
	}
	if _, ok := r.header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if r.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.length, 10))
	}
	w.WriteHeader(r.status)
	if r.body == nil {
		return
	}
	if _, err := io.Copy(w, r.body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// writeFailure answers a request for which there is no server answer. Only the outcome "not run" gets a status from
// which the client may conclude that the request did not run.
func (n *Node) writeFailure(w http.ResponseWriter, c *call, r *reply, retryAfter time.Duration) {
	h := w.Header()
	if c != nil && c.id != "" {
		h.Set(n.Settings.Headers.RequestID, c.id)
	}
	status := r.code.HTTPStatus()
	// Clients of the entrance do not know result codes, and a 4xx status would tell them that the request can never
	// succeed.
	if r.code.Outcome() == crcode.NotRun && (status >= 500 || r.code == crcode.Quarantined) {
		status = http.StatusServiceUnavailable
		h.Set(n.Settings.Headers.RetryAfter, formatSeconds(retryAfter))
	}
	if status == http.StatusTooManyRequests {
		h.Set(n.Settings.Headers.RetryAfter, formatSeconds(retryAfter))
	}
	h.Set("Citronramp-Code", strconv.Itoa(int(r.code)))
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// logRun logs how a call ended at this gate. Successful calls are sampled.
func (n *Node) logRun(c *call, r *reply) {
	now := time.Now()
	class := crevent.Failure
	if succeeded(r) {
		if !n.Log.Sampled(c.id) {
			return
		}
		class = crevent.Routine
	}
	event := crevent.Ran
	if r.code.Outcome() == crcode.NotRun {
		event = crevent.Rejected
	}
	var running, queued, slots int
	if r.load != nil {
		running, queued, slots = r.load.InFlight, r.load.Queued, r.load.Limit
	}
	n.Log.Emit(now, class, event, crevent.KeyID, c.id, crevent.KeyRoute, c.route, crevent.KeyService, c.service, crevent.KeyCaller, c.caller,
		crevent.KeyCode, r.code, crevent.KeyStatus, r.status, crevent.KeyWait, r.waited.Round(time.Millisecond),
		crevent.KeyTook, r.took.Round(time.Millisecond), crevent.KeyLeft, c.deadline.Sub(now).Round(time.Millisecond),
		crevent.KeyRunning, running, crevent.KeyQueue, queued, crevent.KeySlots, slots, crevent.KeyFingerprint, c.fingerprints[perCaller], crevent.KeyDetail, r.detail)
}
