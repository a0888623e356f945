package crforward

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// hopHeader carries the data of a call and of its answer between nodes and is never forwarded outside. It is one line
// of short fields, because one request causes a dozen calls and traffic between failure domains is billed.
const hopHeader = "Citronramp-Hop"

// connectionHeaders apply to a single connection and are not forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// forwardedHeader returns the headers to forward: all except those of a single connection and those between nodes.
func forwardedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		if k != hopHeader && k != suspectHeader && k != ratesHeader && k != speedHeader {
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

// parseMilliseconds parses a number of milliseconds from 0 to one day.
func parseMilliseconds(s string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(strings.TrimSpace(s), 10, 64)
	if err != nil || ms < 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 0), 10)
}

// formatSeconds formats a duration for the retry-after header.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
}

// requestID returns the request id from the headers of a request or of an answer.
func (n *Node) requestID(h http.Header) string { return h.Get(n.Settings.Headers.RequestID) }
