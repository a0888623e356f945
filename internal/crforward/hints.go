package crforward

import (
	"context"
	"time"

	"github.com/citronramp/citronramp/internal/crcoord"
	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crhint"
	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcost"
)

const (
	// hintInterval is the interval of hint reports. If a machine fails, what it learned since its last report is lost.
	hintInterval = 2 * time.Second
	// neededHintInterval replaces it while hintsNeeded is set: what one node has learned is useful to all others,
	// which admit every request of the route until they know its origin and cost.
	neededHintInterval = 300 * time.Millisecond
	// hintTimeout limits one exchange of hints.
	hintTimeout = time.Second
)

// hintExchange is the state of the exchange of hints with one coordinator.
type hintExchange struct {
	session *crwire.Session
	// sent holds the hints that were sent to the coordinator, since the number of the last update received from it.
	sent  *crhint.Table
	since uint64
}

// shareHints reports the route hints of this node to a coordinator until ctx ends. It fetches the hints of other nodes
// at the start and whenever hintsNeeded is set.
func (n *Node) shareHints(ctx context.Context, s *crwire.Session) {
	ex := &hintExchange{session: s, sent: &crhint.Table{}}
	for wantHints := true; ; {
		err := n.exchangeHints(ctx, ex, wantHints)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.Counters.Add("hints_failed", 1)
			n.Log.Emit(time.Now(), crevent.State, crevent.Message, crevent.KeyDetail, "hints", crevent.KeyError, err)
			// Everything is sent again, because the failed report may not have arrived.
			ex.sent = &crhint.Table{}
		}
		if n.waitForHintExchange(ctx) != nil {
			return
		}
		wantHints = n.hintsNeeded.Swap(false) || err != nil
	}
}

// waitForHintExchange waits until the next exchange is due.
func (n *Node) waitForHintExchange(ctx context.Context) error {
	for waited := time.Duration(0); waited < hintInterval; waited += neededHintInterval {
		if err := crpause.For(ctx, neededHintInterval); err != nil {
			return err
		}
		if n.hintsNeeded.Load() {
			return nil
		}
	}
	return nil
}

func (n *Node) exchangeHints(ctx context.Context, ex *hintExchange, wantHints bool) error {
	update := &crwire.RouteHints{Want: wantHints, Since: ex.since}
	for _, h := range n.routeHints(minCostAnswers) {
		if ex.sent.Update(h) > 0 {
			update.Hints = append(update.Hints, h)
		}
	}
	if !wantHints && len(update.Hints) == 0 {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	answer, err := crwire.Call[crwire.RouteHints](callCtx, ex.session, crcoord.MethodHints, update)
	if err != nil {
		return err
	}
	if wantHints {
		ex.since = answer.GetSince()
	}
	for _, h := range answer.GetHints() {
		n.applyHint(h)
	}
	return nil
}

// routeHints returns the known origins and costs of routes, without costs that rest on fewer answers than given.
func (n *Node) routeHints(answers int) []*crwire.RouteHint {
	var out []*crwire.RouteHint
	origins := n.origins.snapshot()
	for route, known := range n.costs.snapshot() {
		if known.answers < answers {
			continue
		}
		h := &crwire.RouteHint{Route: route, Origin: uint32(origins[route]), CostMs: map[string]float32{}}
		for service, seconds := range known.cost {
			h.CostMs[service] = float32(seconds * 1000)
		}
		delete(origins, route)
		out = append(out, h)
	}
	for route, o := range origins {
		out = append(out, &crwire.RouteHint{Route: route, Origin: uint32(o)})
	}
	return out
}

// applyHint stores a hint for what this node has not learned itself.
func (n *Node) applyHint(h *crwire.RouteHint) {
	if o := origin(h.GetOrigin()); o == originClients || o == originServers {
		n.origins.setIfAbsent(h.GetRoute(), o)
	}
	if len(h.GetCostMs()) == 0 {
		return
	}
	costs := crcost.Vector{}
	for service, ms := range h.GetCostMs() {
		costs[service] = float64(ms) / 1000
	}
	n.costs.applyHint(h.GetRoute(), costs)
	n.logCost(time.Now(), h.GetRoute(), costReasonHint)
}
