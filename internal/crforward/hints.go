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
	// hintInterval is the time between reports of what is learned; a machine that ends takes the news of so long with it.
	hintInterval = 2 * time.Second
	// unlearnedInterval takes its place while requests come whose route this node knows too little of: what one node has learned
	// is of use to all that still let everything in.
	unlearnedInterval = 300 * time.Millisecond
	// hintTimeout bounds one report.
	hintTimeout = time.Second
)

// hintTie is what was exchanged with one coordinator.
type hintTie struct {
	session *crwire.Session
	// told holds what the coordinator was told, since is the number of the last news that it told.
	told  *crhint.Book
	since uint64
}

// shareHints reports to a coordinator what this node learns of routes, until ctx ends, and takes what others have learned when
// the tie begins and while requests come whose route this node knows too little of.
func (n *Node) shareHints(ctx context.Context, s *crwire.Session) {
	t := &hintTie{session: s, told: &crhint.Book{}}
	for want := true; ; {
		err := n.exchangeHints(ctx, t, want)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.Counters.Add("hints_failed", 1)
			n.Log.Emit(time.Now(), crevent.State, crevent.Message, crevent.KeyDetail, "hints", crevent.KeyError, err)
			// What the failed report held is told again.
			t.told = &crhint.Book{}
		}
		if n.awaitHints(ctx) != nil {
			return
		}
		want = n.unlearned.Swap(false) || err != nil
	}
}

// awaitHints waits until the next exchange is due.
func (n *Node) awaitHints(ctx context.Context) error {
	for waited := time.Duration(0); waited < hintInterval; waited += unlearnedInterval {
		if err := crpause.For(ctx, unlearnedInterval); err != nil {
			return err
		}
		if n.unlearned.Load() {
			return nil
		}
	}
	return nil
}

func (n *Node) exchangeHints(ctx context.Context, t *hintTie, want bool) error {
	news := &crwire.RouteHints{Want: want, Since: t.since}
	for _, h := range n.learned(enoughAnswers) {
		if t.told.Tell(h) > 0 {
			news.Hints = append(news.Hints, h)
		}
	}
	if !want && len(news.Hints) == 0 {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	answer, err := crwire.Call[crwire.RouteHints](limited, t.session, crcoord.MethodHints, news)
	if err != nil {
		return err
	}
	if want {
		t.since = answer.GetSince()
	}
	for _, h := range answer.GetHints() {
		n.adopt(h)
	}
	return nil
}

// learned returns what this node knows of routes, without costs that rest on fewer answers.
func (n *Node) learned(answers int) []*crwire.RouteHint {
	var out []*crwire.RouteHint
	origins := n.origins.copied()
	for route, known := range n.costs.copied() {
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

// adopt takes a hint where this node has learned too little itself.
func (n *Node) adopt(h *crwire.RouteHint) {
	if o := origin(h.GetOrigin()); o == originClients || o == originServers {
		n.origins.seed(h.GetRoute(), o)
	}
	if len(h.GetCostMs()) == 0 {
		return
	}
	costs := crcost.Vector{}
	for service, ms := range h.GetCostMs() {
		costs[service] = float64(ms) / 1000
	}
	n.costs.adopt(h.GetRoute(), costs)
	n.tellCost(time.Now(), h.GetRoute(), costHinted)
}
