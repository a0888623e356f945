package crforward

import (
	"sync"
	"time"
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

// Figures of the classification.
const (
	// samplesPerService is the number of requests, for each service, after which a service that sent none is held never to
	// send any: with equal parts the chance of an error is below e^-12.
	samplesPerService = 12
	// originWindow bounds the age of what is counted; a route that changes its users is classified anew.
	originWindow = 30 * time.Second
)

// origins counts at a gate which services' instances send the requests of each route. A server's calls carry no mark,
// but they come from the instances of the calling services only.
type origins struct {
	mu     sync.Mutex
	routes map[string]*originCount
}

type originCount struct {
	since   time.Time
	callers map[string]int
	total   int
	verdict origin
}

// count takes a request of a route from an instance of the caller service; services are all that have instances.
func (o *origins) count(now time.Time, route, caller string, services []string) origin {
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
	c.judge(services)
	return c.verdict
}

func (c *originCount) judge(services []string) {
	if len(services) < 2 {
		return
	}
	for _, s := range services {
		if c.callers[s] > 0 {
			continue
		}
		if c.total >= samplesPerService*len(services) {
			c.verdict = originServers
		}
		return
	}
	c.verdict = originClients
}

// routeOrigins is what the gates told a node of the routes that it sends requests of.
type routeOrigins struct {
	mu  sync.Mutex
	all map[string]origin
}

func (r *routeOrigins) learn(route string, o origin) {
	if o == originUnknown {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = map[string]origin{}
	}
	r.all[route] = o
}

func (r *routeOrigins) of(route string) origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all[route]
}
