// Package crhint stores route hints: what nodes measure about a route while they serve it, namely the origin of its
// requests and the cost of one run at each service. Nodes have no disk and need seconds to measure this again after a
// restart, so coordinators store the hints for them.
//
// Hints matter when nodes meet full load right after a power failure. Until the nodes know which requests come from clients
// and what these cost, they admit all of them, and nearly all fail at the overloaded service.
package crhint

import (
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Limits of a Table and of a hint; whatever exceeds them is dropped.
const (
	maxRoutes = 2048
	// routesAfterTrim is the number of routes kept when maxRoutes is exceeded. It is lower than maxRoutes, so that a full
	// book isn't sorted for each new route.
	routesAfterTrim = maxRoutes - maxRoutes/8
	maxServices     = 16
	maxNameBytes    = 256
	maxCostMS       = 3.6e6
	// costTolerance is the relative change up to which a cost counts as unchanged; measured costs vary by as much.
	costTolerance = 0.25
)

// Table stores the latest hint of each route. The zero value is empty and ready to use. A Table is not safe for concurrent
// use.
type Table struct {
	hints map[string]entry
	// updates counts the accepted hints, changes those that changed an entry; both serve as sequence numbers.
	updates, changes uint64
}

type entry struct {
	hint *crwire.RouteHint
	// updateSeq is the sequence number of the last hint for the route, changeSeq that of the last one that changed it.
	updateSeq, changeSeq uint64
}

// Update stores hints and returns how many of them changed an entry. A hint without an origin or without costs leaves the
// stored origin or costs unchanged.
func (b *Table) Update(hints ...*crwire.RouteHint) (changed int) {
	if b.hints == nil {
		b.hints = map[string]entry{}
	}
	for _, h := range hints {
		h = sanitize(h)
		if h == nil {
			continue
		}
		b.updates++
		stored := b.hints[h.GetRoute()]
		old := stored.hint
		if h.GetOrigin() == 0 {
			h.Origin = old.GetOrigin()
		}
		if len(h.GetCostMs()) == 0 {
			h.CostMs = old.GetCostMs()
		}
		if equivalent(old, h) {
			// Keeps the stored values, so that the next hints are compared with them and small changes can add up.
			h = old
		} else {
			changed++
			b.changes++
			stored.changeSeq = b.changes
		}
		b.hints[h.GetRoute()] = entry{hint: h, updateSeq: b.updates, changeSeq: stored.changeSeq}
	}
	b.trim()
	return changed
}

// trim removes the least recently updated routes when there are more than maxRoutes.
func (b *Table) trim() {
	if len(b.hints) <= maxRoutes {
		return
	}
	names := slices.SortedFunc(maps.Keys(b.hints), func(x, y string) int { return int(b.hints[x].updateSeq) - int(b.hints[y].updateSeq) })
	for _, name := range names[:len(names)-routesAfterTrim] {
		delete(b.hints, name)
	}
}

// ChangedSince returns the hints that changed after the given sequence number, ordered by route, and the number to pass next time;
// 0 returns all hints. The caller must not modify the hints.
func (b *Table) ChangedSince(number uint64) ([]*crwire.RouteHint, uint64) {
	var out []*crwire.RouteHint
	for _, name := range slices.Sorted(maps.Keys(b.hints)) {
		if e := b.hints[name]; e.changeSeq > number {
			out = append(out, e.hint)
		}
	}
	return out, b.changes
}

// Hints returns all hints, ordered by route. The caller must not modify them.
func (b *Table) Hints() []*crwire.RouteHint {
	out, _ := b.ChangedSince(0)
	return out
}

// sanitize returns a copy of the hint reduced to the limits, or nil when the route is empty or too long.
func sanitize(h *crwire.RouteHint) *crwire.RouteHint {
	if h.GetRoute() == "" || len(h.GetRoute()) > maxNameBytes {
		return nil
	}
	out := &crwire.RouteHint{Route: h.GetRoute(), Origin: h.GetOrigin(), CostMs: map[string]float32{}}
	for service, ms := range h.GetCostMs() {
		if len(out.CostMs) < maxServices && service != "" && len(service) <= maxNameBytes && ms >= 0 && ms <= maxCostMS {
			out.CostMs[service] = ms
		}
	}
	return out
}

// equivalent reports whether two hints have the same origin and, within costTolerance, the same costs.
func equivalent(a, b *crwire.RouteHint) bool {
	return a != nil && a.GetOrigin() == b.GetOrigin() && maps.EqualFunc(a.GetCostMs(), b.GetCostMs(), func(x, y float32) bool {
		return math.Abs(float64(x-y)) <= costTolerance*float64(max(x, y))
	})
}

// Encode returns the serialized book.
func (b *Table) Encode() ([]byte, error) {
	raw, err := proto.Marshal(&crwire.RouteHints{Hints: b.Hints()})
	if err != nil {
		return nil, crcode.New(crcode.Internal, "hints: %v", err)
	}
	return raw, nil
}

// Decode parses a serialized book. On an error it returns an empty book as well.
func Decode(raw []byte) (*Table, error) {
	h := &crwire.RouteHints{}
	if err := proto.Unmarshal(raw, h); err != nil {
		return &Table{}, crcode.New(crcode.StoreDamaged, "hints: %v", err)
	}
	b := &Table{}
	b.Update(h.GetHints()...)
	return b, nil
}
