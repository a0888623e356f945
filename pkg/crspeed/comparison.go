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
	// MaxSpeed bounds the speed of a server, and 1/MaxSpeed the speed that runs alone can lower it to: beyond that the
	// server is faulty, which is the matter of ejection.
	MaxSpeed = 2.0
	minSpeed = 0.2
	// alike is the difference of run times that counts as none: the noise of the means of servers that are alike.
	alike = 1.08
	// smallDifference is added to compared run times, in seconds: differences of this size come from the machines on which
	// servers run and are no reason to prefer one.
	smallDifference = 0.003
)

// Comparison compares the servers of one service at a calling node. The zero value is ready for use.
type Comparison struct {
	mu     sync.Mutex
	routes map[string]map[string]float64
}

// Observe records the run time that a server's gate reported for a route.
func (c *Comparison) Observe(server, route string, runTime time.Duration) {
	if runTime <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	servers := c.routes[route]
	if servers == nil {
		if len(c.routes) >= maxRoutes {
			return
		}
		if c.routes == nil {
			c.routes = map[string]map[string]float64{}
		}
		servers = map[string]float64{}
		c.routes[route] = servers
	}
	if _, ok := servers[server]; ok || len(servers) < maxServers {
		servers[server] = runTime.Seconds()
	}
}

// Keep forgets all servers for which known returns false.
func (c *Comparison) Keep(known func(server string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, servers := range c.routes {
		for s := range servers {
			if !known(s) {
				delete(servers, s)
			}
		}
	}
}

// Speed returns the lasting speed of a server relative to the median of its service, 1 while it cannot be compared.
func (c *Comparison) Speed(server string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum, n := 0.0, 0
	for _, servers := range c.routes {
		own, ok := servers[server]
		if !ok || len(servers) < minCompared {
			continue
		}
		sum += math.Log((median(servers) + smallDifference) / (own + smallDifference))
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
	slices.Sort(buf[:n])
	if n%2 == 1 {
		return buf[n/2]
	}
	return math.Sqrt(buf[n/2-1] * buf[n/2])
}
