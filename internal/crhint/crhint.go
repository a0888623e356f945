// Package crhint keeps what nodes have learned about routes while they serve: who sends the requests of a route, and what one
// run of it takes of each service. Nodes have no disk and learn it anew in seconds; coordinators keep it for them.
//
// It answers the load pattern of a full load that meets nodes right after a loss of power: until they know which requests
// are clients' and what these cost, all are let in, and nearly all die at the service that is short.
package crhint

import (
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Bounds of a book and of a hint; more is left out.
const (
	maxRoutes = 2048
	// keptRoutes are left when there were too many, so that a full book is not sorted for each new route.
	keptRoutes  = maxRoutes - maxRoutes/8
	maxServices = 16
	maxName     = 256
	maxCostMS   = 3.6e6
	// sameWithin is the relative change below which a cost counts as unchanged; measured ones vary by as much.
	sameWithin = 0.25
)

// Book holds one hint for each route, the last one that was told. The zero value is empty. It is not safe for concurrent use.
type Book struct {
	hints map[string]entry
	// count numbers what was told, news what was new.
	count, news uint64
}

type entry struct {
	hint *crwire.RouteHint
	// told orders the entries by when they were told last, changed by when they said something new.
	told, changed uint64
}

// Tell takes hints and returns how many of them say something new. A hint without an origin or costs leaves what was known.
func (b *Book) Tell(hints ...*crwire.RouteHint) (news int) {
	if b.hints == nil {
		b.hints = map[string]entry{}
	}
	for _, h := range hints {
		h = clean(h)
		if h == nil {
			continue
		}
		b.count++
		known := b.hints[h.GetRoute()]
		old := known.hint
		if h.GetOrigin() == 0 {
			h.Origin = old.GetOrigin()
		}
		if len(h.GetCostMs()) == 0 {
			h.CostMs = old.GetCostMs()
		}
		if same(old, h) {
			// What is known stays, so that small changes add up to one that counts.
			h = old
		} else {
			news++
			b.news++
			known.changed = b.news
		}
		b.hints[h.GetRoute()] = entry{hint: h, told: b.count, changed: known.changed}
	}
	b.trim()
	return news
}

// trim leaves out the routes that were told of longest ago.
func (b *Book) trim() {
	if len(b.hints) <= maxRoutes {
		return
	}
	names := slices.SortedFunc(maps.Keys(b.hints), func(x, y string) int { return int(b.hints[x].told) - int(b.hints[y].told) })
	for _, name := range names[:len(names)-keptRoutes] {
		delete(b.hints, name)
	}
}

// Since returns the hints that are new since a number, in the order of their routes, and the number to ask with next; 0 stands
// for all. The hints must not be changed.
func (b *Book) Since(number uint64) ([]*crwire.RouteHint, uint64) {
	var out []*crwire.RouteHint
	for _, name := range slices.Sorted(maps.Keys(b.hints)) {
		if e := b.hints[name]; e.changed > number {
			out = append(out, e.hint)
		}
	}
	return out, b.news
}

// Hints returns all hints in the order of their routes; they must not be changed.
func (b *Book) Hints() []*crwire.RouteHint {
	out, _ := b.Since(0)
	return out
}

// clean returns a copy of a hint that is within the bounds, nil for one without a usable route.
func clean(h *crwire.RouteHint) *crwire.RouteHint {
	if h.GetRoute() == "" || len(h.GetRoute()) > maxName {
		return nil
	}
	out := &crwire.RouteHint{Route: h.GetRoute(), Origin: h.GetOrigin(), CostMs: map[string]float32{}}
	for service, ms := range h.GetCostMs() {
		if len(out.CostMs) < maxServices && service != "" && len(service) <= maxName && ms >= 0 && ms <= maxCostMS {
			out.CostMs[service] = ms
		}
	}
	return out
}

// same reports whether two hints say the same, but for what varies when it is measured.
func same(a, b *crwire.RouteHint) bool {
	return a != nil && a.GetOrigin() == b.GetOrigin() && maps.EqualFunc(a.GetCostMs(), b.GetCostMs(), func(x, y float32) bool {
		return math.Abs(float64(x-y)) <= sameWithin*float64(max(x, y))
	})
}

// Encode returns the book as bytes.
func (b *Book) Encode() ([]byte, error) {
	raw, err := proto.Marshal(&crwire.RouteHints{Hints: b.Hints()})
	if err != nil {
		return nil, crcode.New(crcode.Internal, "hints: %v", err)
	}
	return raw, nil
}

// Decode returns the book of bytes.
func Decode(raw []byte) (*Book, error) {
	h := &crwire.RouteHints{}
	if err := proto.Unmarshal(raw, h); err != nil {
		return &Book{}, crcode.New(crcode.StoreDamaged, "hints: %v", err)
	}
	b := &Book{}
	b.Tell(h.GetHints()...)
	return b, nil
}
