package crforward

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crshed"
)

// TestRatesHop guards against a call that loses the admission rates of its client request between nodes, and against
// unlimited entries in a header from another node.
func TestRatesHop(t *testing.T) {
	now := time.Unix(1, 0)
	n := &Node{}
	sent := &call{
		id: "x", service: "photos", route: "/p/", deadline: now.Add(time.Second), due: now.Add(time.Second),
		rates: crshed.Rates{"photos": 0.5, "prices & more": 0.125, "ledger": 1},
	}
	h := n.hopRequest(sent, now).Header
	got, err := parseHop(&http.Request{Header: h}, "X-Id", now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.rates, qt.DeepEquals, crshed.Rates{"photos": 0.5, "prices & more": 0.125})
	qt.Assert(t, forwardedHeader(h), qt.HasLen, 0, qt.Commentf("servers must not get the internal headers"))

	// A node of an earlier release sends only the rate of the call's service.
	h.Del(ratesHeader)
	got, err = parseHop(&http.Request{Header: h}, "X-Id", now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.rates.Of("photos"), qt.Equals, 0.5)
	qt.Assert(t, got.rates.Of("prices & more"), qt.Equals, 1.0)

	h.Set(ratesHeader, "a=0.5,b=x")
	_, err = parseHop(&http.Request{Header: h}, "X-Id", now)
	qt.Assert(t, crcode.Of(err), qt.Equals, crcode.MalformedMessage)
	h.Set(ratesHeader, "a=0.1,b=0.1,c=0.1,d=0.1,e=0.1,f=0.1")
	got, err = parseHop(&http.Request{Header: h}, "X-Id", now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.rates, qt.HasLen, maxRateEntries+1)
}
