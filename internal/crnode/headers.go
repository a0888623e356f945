package crnode

import (
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Limits of the caller interface.
const (
	maxDeadline      = 10 * time.Minute
	maxHeaderBytes   = 8 << 10
	maxCallKeyLength = 64
)

var callKeyPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)

// callHeaders are the validated headers of one call.
type callHeaders struct {
	id          string
	deadline    time.Duration
	token       string
	callKey     string
	contentType string
}

// parseHeaders validates the headers of a call. A deadline of zero means that the deadline of the kind applies.
func parseHeaders(h http.Header) (callHeaders, error) {
	for name, values := range h {
		if strings.HasPrefix(name, headerPrefix) && len(values) > 1 {
			return callHeaders{}, crcode.New(crcode.DuplicateHeader, "%s", name)
		}
	}
	out := callHeaders{
		id:          h.Get(HeaderRequestID),
		token:       h.Get(HeaderContext),
		callKey:     h.Get(HeaderCallKey),
		contentType: h.Get("Content-Type"),
	}
	if out.callKey != "" && (len(out.callKey) > maxCallKeyLength || !callKeyPattern.MatchString(out.callKey)) {
		return callHeaders{}, crcode.New(crcode.BadRequest, "%s must be 1 to %d of a-z, 0-9 and -", HeaderCallKey, maxCallKeyLength)
	}
	var err error
	out.deadline, err = parseDeadline(h.Get(HeaderDeadline))
	return out, err
}

func parseDeadline(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() || s[0] == '+' {
		return 0, crcode.New(crcode.BadDeadline, "%q", s)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// writeAnswer writes a complete answer, or a refusal with its code, outcome and retry delay.
func writeAnswer(w http.ResponseWriter, id string, a answer) {
	h := w.Header()
	if id != "" {
		h.Set(HeaderRequestID, id)
	}
	h.Set(HeaderCode, strconv.Itoa(int(a.code)))
	h.Set(HeaderOutcome, a.code.Outcome().String())
	if a.attempts > 0 {
		h.Set(HeaderAttempts, strconv.Itoa(a.attempts))
	}
	if a.code == crcode.OK || a.code == crcode.Replayed {
		if a.contentType != "" {
			h.Set("Content-Type", a.contentType)
		}
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body)
		return
	}
	if a.retryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.FormatInt(max(a.retryAfter.Milliseconds(), 1), 10))
		h.Set("Retry-After", strconv.FormatInt(int64((a.retryAfter+time.Second-1)/time.Second), 10))
	}
	info := a.code.Info()
	writeJSON(w, info.Status, struct {
		Code      crcode.Code `json:"code"`
		Name      string      `json:"name"`
		Outcome   string      `json:"outcome"`
		Message   string      `json:"message"`
		Detail    string      `json:"detail,omitempty"`
		RequestID string      `json:"request_id,omitempty"`
	}{a.code, info.Name, info.Outcome.String(), info.Text, a.detail, id})
}
