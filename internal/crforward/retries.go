package crforward

import (
	"time"

	"github.com/citronramp/citronramp/pkg/cradmission"
	"github.com/citronramp/citronramp/pkg/crbudget"
)

// callBudget decides about the retries of one call.
type callBudget struct {
	node    *Node
	service *service
	call    *call
	// leaf is set if the run of the call is known to make no calls, so that a retry repeats no calls downstream.
	leaf bool
}

// budget returns the retry budget of a call.
func (n *Node) budget(s *service, c *call) *callBudget {
	return &callBudget{node: n, service: s, call: c, leaf: n.makesNoCalls(c)}
}

// makesNoCalls reports whether the runs of a call are known to make no calls.
func (n *Node) makesNoCalls(c *call) bool {
	costs := n.costs.get(c.route).cost
	_, own := costs[c.service]
	return own && len(costs) == 1
}

// recordCall counts the first attempt of the call. Calls of the server on this instance are repeats in the proportion in which
// repeated runs make them.
func (b *callBudget) recordCall(now time.Time) {
	n, c := b.node, b.call
	if c.origin != originClients {
		c.repeat = b.service.allowance.MarkRepeat(n.gate.repeats.Fraction(func(run string) float64 {
			return n.ledger.OutstandingPerRun(run, c.route)
		}))
	}
	if c.repeat {
		n.Counters.Add("repeated_calls", 1)
	}
	b.service.allowance.RecordCall(now, c.repeat)
	if !b.leaf {
		b.service.retries.RecordSuccess()
	}
}

// Allow takes a retry of the call and reports whether there was one.
func (b *callBudget) Allow(now time.Time) bool {
	if !b.leaf && !b.service.retries.Allow(now) {
		return false
	}
	return b.service.allowance.Allow(now, b.urgency(now))
}

// urgency returns the urgency of a retry of the call. The work that led to a server's call is lost with it, and the call may belong
// to the most important requests, so it ranks with these.
func (b *callBudget) urgency(now time.Time) crbudget.Urgency {
	c, ranks := b.call, &b.service.ranks
	if c.origin != originClients || ranks.RankWithin(now, cradmission.Client, c.kindImportance(), c.importance) == ranks.Rank(now, cradmission.Server, 0) {
		return crbudget.Important
	}
	return crbudget.Ordinary
}
