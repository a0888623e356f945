package crspeed

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// maxServers is the number of servers of a service that a node knows at most.
	maxServers = 20
	// minCompared is the number of servers with a run time of a route, including the server itself, from which they are
	// compared.
	minCompared = 2
	// MaxSpeed and minSpeed bound the speed of a server, so that false figures cannot attract or turn away all traffic.
	MaxSpeed = 2.0
	minSpeed = 0.1
	// alike is the difference of run times that counts as none: the noise of the means of servers that are alike.
	alike = 1.1
	// smallDifference is added to compared run times, in seconds: differences of this size come from the machines on which
	// servers run and are no reason to prefer one.
	smallDifference = 0.003
)

// Comparison compares the servers of one service at a calling node. The zero value is ready for use.
type Comparison struct {
	mu     sync.Mutex
	routes map[string]*routeTimes
}

// routeTimes holds the run times of one route in seconds, by server, and their median.
type routeTimes struct {
	servers map[string]float64
	median  float64
}

// Observe records the run time that a server's gate reported for a route. Zero means that it is not known any more: a server
// that has been left for long is compared again after some runs.
func (c *Comparison) Observe(server, route string, runTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[route]
	if runTime <= 0 {
		if r != nil {
			delete(r.servers, server)
			r.median = median(r.servers)
		}
		return
	}
	if r == nil {
		if len(c.routes) >= maxRoutes {
			return
		}
		if c.routes == nil {
			c.routes = map[string]*routeTimes{}
		}
		r = &routeTimes{servers: map[string]float64{}}
		c.routes[route] = r
	}
	if _, ok := r.servers[server]; ok || len(r.servers) < maxServers {
		r.servers[server] = runTime.Seconds()
		r.median = median(r.servers)
	}
}

// Keep forgets all servers for which known returns false.
func (c *Comparison) Keep(known func(server string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.routes {
		for s := range r.servers {
			if !known(s) {
				delete(r.servers, s)
			}
		}
		r.median = median(r.servers)
	}
}

// Speed returns the lasting speed of a server relative to the median of its service, 1 while it cannot be compared.
func (c *Comparison) Speed(server string) float64 { return c.at(server, 1) }

// Slowness returns the factor by which a server is slower at present than its lasting speed tells, if it reports the given
// factor. Both are compared with the median in the same way, so that a false factor has no effect once the run times have
// followed.
func (c *Comparison) Slowness(server string, reported float64) float64 {
	if reported <= 0 || reported == 1 {
		return 1
	}
	if !c.compared(server) {
		return max(reported, 1)
	}
	return c.at(server, 1) / c.at(server, reported)
}

func (c *Comparison) compared(server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.routes {
		if _, ok := r.servers[server]; ok && len(r.servers) >= minCompared {
			return true
		}
	}
	return false
}

// at returns the speed of a server that works by the factor slowness slower than its run times tell.
func (c *Comparison) at(server string, slowness float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum, n := 0.0, 0
	for _, r := range c.routes {
		own, ok := r.servers[server]
		if !ok || len(r.servers) < minCompared {
			continue
		}
		sum += math.Log((r.median + smallDifference) / (own*slowness + smallDifference))
		n++
	}
	if n == 0 {
		return 1
	}
	return min(max(math.Exp(withoutNoise(sum/float64(n))), minSpeed), MaxSpeed)
}

// withoutNoise reduces a logarithm of a speed towards zero by the difference that counts as none.
func withoutNoise(x float64) float64 {
	noise := math.Log(alike)
	switch {
	case x > noise:
		return x - noise
	case x < -noise:
		return x + noise
	}
	return 0
}

func median(values map[string]float64) float64 {
	var buf [maxServers]float64
	n := 0
	for _, v := range values {
		buf[n] = v
		n++
	}
	if n == 0 {
		return 0
	}
	slices.Sort(buf[:n])
	if n%2 == 1 {
		return buf[n/2]
	}
	return math.Sqrt(buf[n/2-1] * buf[n/2])
}
