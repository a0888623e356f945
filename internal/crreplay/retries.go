package crreplay

import (
	"time"

	"github.com/citronramp/citronramp/pkg/crbudget"
)

// Limits of retries, equal to those of real nodes.
const (
	// maxAttempts is the number of servers that one request may be sent to.
	maxAttempts = 2
	// callerShare is the share of the retry ratio for runs that make calls.
	callerShare = 0.25
)

// retryBudget is the retry budget of one node for one service.
type retryBudget struct {
	allowance crbudget.Allowance
	callers   crbudget.Ratio
}

func newRetryBudget(nodes int, ratio float64, rnd func() float64) *retryBudget {
	b := &retryBudget{
		allowance: crbudget.Allowance{Ratio: ratio, Rand: rnd},
		callers:   crbudget.Ratio{PerSuccess: callerShare * ratio, PerSecond: 1e-6, Burst: 1},
	}
	b.allowance.SetNodes(nodes)
	return b
}

// recordCall counts the first send of work for the retry budget.
func (n *node) recordCall(now time.Time, w *work) {
	b := n.retries[w.kind.Service]
	if w.fromServer {
		w.repeat = b.allowance.MarkRepeat(n.repeats.Fraction(func(string) float64 { return 1 }))
	}
	b.allowance.RecordCall(now, w.repeat)
	if len(w.kind.Calls) > 0 {
		b.callers.RecordSuccess()
	}
}

// takeRetry takes a retry of work from the retry budget and reports whether there was one.
func (n *node) takeRetry(now time.Time, w *work) bool {
	b, urgency := n.retries[w.kind.Service], crbudget.Ordinary
	if w.fromServer || w.kind.Priority == 0 {
		urgency = crbudget.Important
	}
	if len(w.kind.Calls) > 0 && !b.callers.Allow(now) || !b.allowance.Allow(now, urgency) {
		return false
	}
	w.repeat = true
	return true
}
