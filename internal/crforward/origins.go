package crforward

import (
	"sync"
	"time"

	"github.com/citronramp/citronramp/pkg/cradmission"
)

// origin says who sends the requests of a route.
type origin uint8

const (
	originUnknown origin = iota
	// originClients marks routes whose requests arrive at instances of every service, as those of clients do.
	originClients
	// originServers marks routes that only the servers of certain services call.
	originServers
)

// senderOf maps origins to the senders that the gate's queue distinguishes.
var senderOf = map[origin]cradmission.Sender{originClients: cradmission.Client, originServers: cradmission.Server}

// Parameters of the classification.
const (
	// minExpectedRequests is how many requests a service would have sent, in proportion to its instances, before the
	// lack of any shows that it sends none. The probability of an error is below e^-12.
	minExpectedRequests = 12
	// minIdleRequests is how many requests from instances with an idle server show that clients send them, and
	// minIdleShare the least share of all requests that they must make up: an abandoned run may still make a few
	// calls.
	minIdleRequests = 3
	minIdleShare    = 0.05
	// originWindow is the age at which counts are discarded, so that a route whose senders change is classified again.
	originWindow = 30 * time.Second
)

// originClassifier counts at a gate from which services' instances the requests of each route come. A server's calls
// carry no mark, but they come only from instances of the calling services, and never while that server is idle.
type originClassifier struct {
	mu     sync.Mutex
	routes map[string]*originCount
}

type originCount struct {
	since    time.Time
	callers  map[string]int
	total    int
	fromIdle int
	verdict  origin
}

// observe counts a request of a route from an instance of the caller service and returns the classification of the
// route; idle means that the server of that instance ran nothing. instances holds the number of instances of each
// service that has any.
func (o *originClassifier) observe(now time.Time, route, caller string, idle bool, instances map[string]int) origin {
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
		c.fromIdle++
	}
	c.classify(instances)
	return c.verdict
}

func (c *originCount) classify(instances map[string]int) {
	if len(instances) < 2 {
		return
	}
	if c.fromIdle >= minIdleRequests && float64(c.fromIdle) >= minIdleShare*float64(c.total) {
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
	case c.total*unseen >= minExpectedRequests*all:
		c.verdict = originServers
	}
}

// routeOrigins holds, by route, the origin that gates reported to this node in their answers.
type routeOrigins struct{ byRoute[origin] }

func (r *routeOrigins) set(route string, o origin) {
	if o != originUnknown {
		r.merge(route, o, func(_, told origin) origin { return told })
	}
}
