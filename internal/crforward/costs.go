package crforward

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/pkg/crcost"
)

// Parameters of the estimate of a route's cost.
const (
	// costSmoothing is the weight of one answer in the moving average after the first few. Reported costs are means
	// already.
	costSmoothing = 0.2
	// minCostAnswers is the number of answers from which a cost is reported to other nodes and no longer replaced by
	// theirs.
	minCostAnswers = 5
)

// routeCost is the service time that one request of a route takes of each service, including downstream calls.
type routeCost struct {
	cost crcost.Vector
	// answers is the number of answers that the estimate rests on. An estimate from a hint counts as minCostAnswers,
	// the least that nodes report.
	answers int
}

// routeCosts holds the cost estimates by route.
type routeCosts struct{ byRoute[routeCost] }

// observe adds the cost that an answer reports to the moving average of the route.
func (r *routeCosts) observe(route string, observed crcost.Vector) {
	r.merge(route, routeCost{observed, 1}, func(old, observed routeCost) routeCost {
		weight := max(costSmoothing, 1/float64(old.answers+1))
		next := crcost.Vector{}
		for service, v := range old.cost {
			next[service] = v * (1 - weight)
		}
		for service, v := range observed.cost {
			next[service] += v * weight
		}
		return routeCost{next, old.answers + 1}
	})
}

// applyHint stores a cost reported by other nodes, unless this node has enough observations of its own.
func (r *routeCosts) applyHint(route string, cost crcost.Vector) {
	r.merge(route, routeCost{cost, minCostAnswers}, func(old, hinted routeCost) routeCost {
		if old.answers >= minCostAnswers {
			return old
		}
		return hinted
	})
}

// Limits of the log events about costs.
const (
	// costLogStep is the relative change of a cost that is logged, costLogInterval the minimum time between two events
	// of a route.
	costLogStep     = 0.25
	costLogInterval = time.Second
)

// Reasons for a change of a cost estimate, as logged.
const (
	costReasonAnswer = "answer"
	costReasonHint   = "hint"
)

// costLog limits the log events about costs.
type costLog struct {
	mu   sync.Mutex
	last map[string]loggedCost
}

type loggedCost struct {
	cost crcost.Vector
	at   time.Time
}

// due reports whether the cost of a route differs enough from the last logged one, and if so records it as logged.
func (l *costLog) due(now time.Time, route string, cost crcost.Vector) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous, ok := l.last[route]
	if ok && (now.Sub(previous.at) < costLogInterval || maps.EqualFunc(previous.cost, cost, sameCost)) {
		return false
	}
	if l.last == nil {
		l.last = map[string]loggedCost{}
	}
	l.last[route] = loggedCost{cost, now}
	return true
}

func sameCost(a, b float64) bool { return max(a, b)-min(a, b) <= costLogStep*max(a, b) }

// logCost logs the cost estimate of a route if it has changed.
func (n *Node) logCost(now time.Time, route, reason string) {
	cost := n.costs.get(route).cost
	if cost == nil || !n.costLog.due(now, route, cost) {
		return
	}
	var list []string
	for _, service := range slices.Sorted(maps.Keys(cost)) {
		list = append(list, fmt.Sprintf("%s:%.0f", service, cost[service]*1000))
	}
	n.Log.Emit(now, crevent.State, crevent.CostLearned, crevent.KeyRoute, route, crevent.KeyReason, reason,
		crevent.KeyCost, strings.Join(list, ","))
}
