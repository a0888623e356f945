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

// Figures of the lines that tell what a node holds a route to cost.
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
	cost := n.costs.of(route)
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
