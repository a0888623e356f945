package crdocument_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/citronramp/citronramp/internal/crdocument"
	"github.com/citronramp/citronramp/internal/crwire"
)

// routesText returns a document of n routes. The routes in changed have a different weight.
func routesText(n int, changed ...int) []byte {
	var b strings.Builder
	for i := range n {
		weight := 100
		for _, c := range changed {
			if c == i {
				weight = 37
			}
		}
		fmt.Fprintf(&b, `{"name":"route-%d","host":"example-%d.test","prefix":"/p%x/","service":"svc-%d","weight":%d,"timeout":"%dms"},`, i, i%97, i*7919, i%41, weight, 100+i%13)
	}
	return []byte(b.String())
}

// TestPackedSize guards against a change of a few routes that is packed to the size of the full document.
func TestPackedSize(t *testing.T) {
	one := &crwire.Document{Version: 1, Body: routesText(3000)}
	two := &crwire.Document{Version: 2, Base: 1, Body: routesText(3000, 5, 1400, 2900)}
	whole, err := crdocument.Pack(nil, one)
	qt.Assert(t, err, qt.IsNil)
	change, err := crdocument.Pack(one, two)
	qt.Assert(t, err, qt.IsNil)
	t.Logf("document %d bytes, packed whole %d, packed change %d", len(one.Body), len(whole.Body), len(change.Body))
	qt.Assert(t, len(whole.Body) < len(one.Body)/4, qt.IsTrue)
	qt.Assert(t, len(change.Body) < len(one.Body)/100, qt.IsTrue)
}

// TestPackRoundTrip guards against an unpacked document that differs from the packed one.
func TestPackRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.Byte(), 0, 3000)
		reference := &crwire.Document{Version: 7, Body: text.Draw(t, "reference")}
		d := &crwire.Document{Version: 9, Base: 8, Body: text.Draw(t, "document")}
		if rapid.Bool().Draw(t, "related") {
			d.Body = append(append([]byte{}, reference.Body...), d.Body...)
		}
		p, err := crdocument.Pack(reference, d)
		if err != nil {
			t.Fatal(err)
		}
		got, err := crdocument.Unpack(reference, p)
		if err != nil {
			t.Fatal(err)
		}
		if string(got.Body) != string(d.Body) || got.Version != 9 || got.Base != 8 {
			t.Fatalf("restored as %v", got)
		}
	})
}

// TestUnpackOtherReference guards against a document that is unpacked with a different reference than it was packed
// with.
func TestUnpackOtherReference(t *testing.T) {
	one := &crwire.Document{Version: 1, Body: routesText(200)}
	two := &crwire.Document{Version: 2, Base: 1, Body: routesText(200, 5)}
	p, err := crdocument.Pack(one, two)
	qt.Assert(t, err, qt.IsNil)
	_, err = crdocument.Unpack(&crwire.Document{Version: 3, Body: one.Body}, p)
	qt.Assert(t, err, qt.ErrorMatches, ".*refers to version 1, not 3.*")
	_, err = crdocument.Unpack(&crwire.Document{Version: 1, Body: routesText(200, 9)}, p)
	qt.Assert(t, err, qt.IsNotNil)
	_, err = crdocument.Unpack(nil, &crwire.PackedDocument{Version: 4, Body: []byte("junk")})
	qt.Assert(t, err, qt.IsNotNil)
}

// TestPackCache guards against a document that is packed more than once for the same version of the receivers, and
// against the use of a reference that a receiver does not hold.
func TestPackCache(t *testing.T) {
	var s crdocument.PackCache
	docs := map[uint64]*crwire.Document{}
	for v := uint64(1); v <= 9; v++ {
		docs[v] = &crwire.Document{Version: v, Base: v - 1, Body: routesText(300, int(v))}
		if v == 1 {
			continue
		}
		var wg sync.WaitGroup
		out := make([]*crwire.PackedDocument, 20)
		for i := range out {
			wg.Go(func() { out[i], _ = s.Packed(v-1, docs[v]) })
		}
		wg.Wait()
		for _, p := range out {
			qt.Assert(t, p == out[0], qt.IsTrue)
		}
		got, err := crdocument.Unpack(docs[v-1], out[0])
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(got.Body), qt.Equals, string(docs[v].Body))
	}
	for _, have := range []uint64{0, 1, 6, 8, 20} {
		p, err := s.Packed(have, docs[9])
		qt.Assert(t, err, qt.IsNil)
		got, err := crdocument.Unpack(docs[have], p)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(got.Body), qt.Equals, string(docs[9].Body))
	}
	late, err := s.Packed(6, docs[7])
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, late.Version, qt.Equals, uint64(7))
}
