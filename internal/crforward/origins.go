package crforward

import (
	"sync"
	"time"

	"github.com/citronramp/citronramp/pkg/cradmission"
)

// origin tells who sends the requests of a route.
type origin uint8

const (
	originUnknown origin = iota
	// originClients marks routes whose requests begin on instances of every service, as those of clients do.
	originClients
	// originServers marks routes that only the servers of some services call.
	originServers
)

// senders are the origins in the words of a gate's queue.
var senders = map[origin]cradmission.Sender{originClients: cradmission.Client, originServers: cradmission.Server}

// Figures of the classification.
const (
	// expectedSamples is how many requests a service's instances would have sent by their number for the service to be held
	// never to send any: the chance of an error is below e^-12.
	expectedSamples = 12
	// idleSamples is how many requests from instances whose server runs nothing show that clients send them, and idleShare
	// their least part: a run that was given up may still make a few calls.
	idleSamples = 3
	idleShare   = 0.05
	// originWindow bounds the age of what is counted; a route that changes its users is classified anew.
	originWindow = 30 * time.Second
)

// origins counts at a gate which services' instances send the requests of each route. A server's calls carry no mark,
// but they come from the instances of the calling services only, and never while the server runs nothing.
type origins struct {
	mu     sync.Mutex
	routes map[string]*originCount
}

type originCount struct {
	since   time.Time
	callers map[string]int
	total   int
	idle    int
	verdict origin
}

// count takes a request of a route from an instance of the caller service, whose server ran nothing if idle is true;
// instances holds the number of instances of each service that has any.
func (o *origins) count(now time.Time, route, caller string, idle bool, instances map[string]int) origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.routes == nil {
		o.routes = map[string]*originCount{}
	}
	c := o.routes[route]
	if c == nil || now.Sub(c.since) > originWindow {
		next := &originCount{since: now, callers: map[string]int{}}
		if c != nil {
			next.verdict = c.verdict
		}
		c = next
		o.routes[route] = c
	}
	c.callers[caller]++
	c.total++
	if idle {
		c.idle++
	}
	c.judge(instances)
	return c.verdict
}

func (c *originCount) judge(instances map[string]int) {
	if len(instances) < 2 {
		return
	}
	if c.idle >= idleSamples && float64(c.idle) >= idleShare*float64(c.total) {
		c.verdict = originClients
		return
	}
	all, unseen := 0, 0
	for s, n := range instances {
		all += n
		if c.callers[s] == 0 {
			unseen = max(unseen, n)
		}
	}
	switch {
	case unseen == 0:
		c.verdict = originClients
	case c.total*unseen >= expectedSamples*all:
		c.verdict = originServers
	}
}

// routeOrigins is what the gates told a node of the routes that it sends requests of.
type routeOrigins struct{ byRoute[origin] }

func (r *routeOrigins) learn(route string, o origin) {
	if o != originUnknown {
		r.merge(route, o, func(_, told origin) origin { return told })
	}
}
