package crforward

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// hopHeader carries what nodes tell each other about a call and its answer; it never leaves the system. One line of short
// fields, since a call makes a dozen more and the bytes between failure domains are paid for.
const hopHeader = "Citronramp-Hop"

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// passedOn returns the headers that are passed on: all but those that concern one connection or the hops of this system.
func passedOn(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		if k != hopHeader && k != suspectHeader && k != ratesHeader {
			out[k] = v
		}
	}
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	return out
}

// milliseconds parses a count of milliseconds.
func milliseconds(s string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(strings.TrimSpace(s), 10, 64)
	if err != nil || ms < 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 0), 10)
}

// formatSeconds writes a time for a retry hint.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
}

// requestID returns the id that a request and the answers to it carry.
func (n *Node) requestID(h http.Header) string { return h.Get(n.Settings.Headers.RequestID) }
