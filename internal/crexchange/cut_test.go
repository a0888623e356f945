package crexchange_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crexchange"
)

// TestCutAnswer guards against an answer that is cut in the middle of its head or body and accepted as complete.
func TestCutAnswer(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1.2\r\n"
	for name, answer := range map[string]string{
		"length":       head + "Content-Length: 12\r\n\r\nhello, world",
		"empty":        head + "Content-Length: 0\r\n\r\n",
		"chunks":       head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7;x=y\r\n, world\r\n0\r\n\r\n",
		"trailer":      head + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n5\r\nhello\r\n0\r\nSum: 7\r\n\r\n",
		"interim":      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
		"bare newline": "HTTP/1.1 200 OK\nId: ID\nContent-Length: 2\n\nok",
		// Its body ends with the connection, so only the head shows that it is cut.
		"without length": head + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(answer) {
				text := strings.ReplaceAll(answer[:cut], "ID", "a")
				if strings.HasSuffix(text, "I") {
					continue
				}
				s := serve(t, text+closeMarker)
				body, resp, err := do(t, &crexchange.Client{Address: s.Addr().String()}, "a")
				qt.Assert(t, err, qt.IsNotNil, qt.Commentf("cut at %d: %q, %v", cut, body, resp))
				_ = s.Close()
			}
		})
	}
}

// TestRepeatedRefusal guards against a server that repeats an earlier refusal on a reused connection, so that a later
// request is taken for one that was not run.
func TestRepeatedRefusal(t *testing.T) {
	t.Parallel()
	refusal := func(id, framing string) string {
		return "HTTP/1.1 503 Busy\r\n" + id + "Not-Run: 1\r\n" + framing
	}
	const own, length, chunks = "Id: a\r\n", "Content-Length: 4\r\n\r\nbusy", "Transfer-Encoding: chunked\r\nX: Content-Length\r\n\r\n4\r\nbusy\r\n0\r\n\r\n"
	for name, x := range map[string]struct {
		// repeated is written before the answer to the next request, or late, after the answer to this one.
		repeated string
		late     bool
		method   string
		id       string
	}{
		"before":                   {repeated: refusal(own, length)},
		"before, in chunks":        {repeated: refusal(own, chunks)},
		"before, twice":            {repeated: strings.Repeat(refusal(own, length), 2)},
		"before, without id":       {repeated: refusal("", length)},
		"before, without length":   {repeated: refusal(own, "\r\nbusy")},
		"before, of a HEAD":        {repeated: refusal(own, "Content-Length: 4\r\n\r\n")},
		"before the answer to one": {repeated: refusal(own, length), method: "HEAD"},
		"after":                    {repeated: refusal(own, length), late: true},
		"before, same id":          {repeated: refusal(own, length), id: "a"},
		"after, same id":           {repeated: refusal(own, length), late: true, id: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			second := x.repeated + reusedMarker + whole
			if x.late {
				second = whole
			}
			first := refusal(own, length)
			if x.late {
				first += x.repeated
			}
			s := serve(t, first, second, whole)
			c := client(s)
			_, resp, err := do(t, c, "a")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, resp.Status, qt.Equals, http.StatusServiceUnavailable)
			method, id := x.method, x.id
			if method == "" {
				method = "POST"
			}
			if id == "" {
				id = "b"
			}
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			resp, err = c.Do(ctx, &crexchange.Request{Method: method, Target: "/x", Host: "h", Header: http.Header{"Id": {id}}})
			if err != nil {
				// The outcome is unknown, and the error must not claim that nothing was sent.
				qt.Assert(t, err, qt.Not(qt.ErrorIs), crexchange.ErrNotSent)
				return
			}
			body, err := io.ReadAll(resp.Body)
			resp.Close()
			qt.Assert(t, fmt.Sprint(resp.Status, resp.Header.Get("Not-Run"), err), qt.Equals, "200<nil>")
			if method != "HEAD" {
				qt.Assert(t, string(body), qt.Equals, "ok")
			}
		})
	}
}

// FuzzAnswer guards against server data that crashes or blocks the process, or that is accepted as an answer to another
// request.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 503 Busy\r\nId: b\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "\r\n\r\n", "HTTP/9.9",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		s := serve(t, string(answer)+closeMarker)
		defer func() { _ = s.Close() }()
		_, resp, err := do(t, client(s), "a")
		if err == nil && resp.Header.Get("Id") != "a" {
			t.Fatalf("accepted as an answer: %q", answer)
		}
	})
}
