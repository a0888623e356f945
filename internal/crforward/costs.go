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

// Figures of what a node holds a route to cost.
const (
	// costSmoothing is the weight of what one answer tells, after the first few; servers tell means already.
	costSmoothing = 0.2
	// enoughAnswers is how many answers a cost rests on that others take over, and that gives no longer way to theirs.
	enoughAnswers = 5
)

// routeCost is what a request of a route takes of each service.
type routeCost struct {
	cost crcost.Vector
	// answers is how many answers the cost rests on; one that others have learned counts as many as they had at least.
	answers int
}

// routeCosts is what the answers told of the costs of routes.
type routeCosts struct{ byRoute[routeCost] }

// learn takes what an answer tells.
func (r *routeCosts) learn(route string, told crcost.Vector) {
	r.merge(route, routeCost{told, 1}, func(old, told routeCost) routeCost {
		weight := max(costSmoothing, 1/float64(old.answers+1))
		next := crcost.Vector{}
		for service, v := range old.cost {
			next[service] = v * (1 - weight)
		}
		for service, v := range told.cost {
			next[service] += v * weight
		}
		return routeCost{next, old.answers + 1}
	})
}

// adopt takes what others have learned, unless this node has learned enough itself.
func (r *routeCosts) adopt(route string, cost crcost.Vector) {
	r.merge(route, routeCost{cost, enoughAnswers}, func(old, news routeCost) routeCost {
		if old.answers >= enoughAnswers {
			return old
		}
		return news
	})
}

// Figures of the lines that tell of costs.
const (
	// costLineStep is the relative change of a cost that is told, and costLineEvery the least time between two lines of a route.
	costLineStep  = 0.25
	costLineEvery = time.Second
)

// Reasons why a node changes what it holds a route to cost.
const (
	costAnswered = "answer"
	costHinted   = "hint"
)

// costLines bounds the lines that tell of costs.
type costLines struct {
	mu   sync.Mutex
	told map[string]costLine
}

type costLine struct {
	cost crcost.Vector
	at   time.Time
}

// due reports whether the cost of a route differs from the one told last, and takes it as told then.
func (l *costLines) due(now time.Time, route string, cost crcost.Vector) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, ok := l.told[route]
	if ok && (now.Sub(last.at) < costLineEvery || maps.EqualFunc(last.cost, cost, sameCost)) {
		return false
	}
	if l.told == nil {
		l.told = map[string]costLine{}
	}
	l.told[route] = costLine{cost, now}
	return true
}

func sameCost(a, b float64) bool { return max(a, b)-min(a, b) <= costLineStep*max(a, b) }

// tellCost writes what a request of a route is held to cost when that has changed.
func (n *Node) tellCost(now time.Time, route, reason string) {
	cost := n.costs.of(route).cost
	if cost == nil || !n.costLines.due(now, route, cost) {
		return
	}
	var list []string
	for _, service := range slices.Sorted(maps.Keys(cost)) {
		list = append(list, fmt.Sprintf("%s:%.0f", service, cost[service]*1000))
	}
	n.Log.Emit(now, crevent.State, crevent.CostLearned, crevent.KeyRoute, route, crevent.KeyReason, reason,
		crevent.KeyCost, strings.Join(list, ","))
}
