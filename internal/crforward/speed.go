package crforward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crspeed"
)

// speedHeader carries, on an answer between nodes, how fast the server works. It is a header of its own because nodes of the
// release before accept no further field in the hop header.
const speedHeader = "Citronramp-Speed"

// Positions of the fields in the speed header of an answer: the lasting run time of the route in milliseconds, the present
// slowness and the acceptance.
const (
	speedRunTime = iota
	speedSlowness
	speedAcceptance
	speedFields
)

// speedDigits is the number of decimals of the figures; run times are compared within a few percent.
const speedDigits = 2

// refusingAcceptance is the acceptance below which a refusal by a server counts as a failure. Above it the router weights the
// server by its acceptance; ejection would also lose the requests that it accepts.
const refusingAcceptance = 0.15

func formatSpeed(r *crspeed.Report) string {
	var f [speedFields]string
	f[speedRunTime] = strconv.FormatFloat(r.RunTime.Seconds()*1000, 'f', speedDigits, 64)
	f[speedSlowness] = strconv.FormatFloat(r.Slowness, 'f', speedDigits, 64)
	f[speedAcceptance] = strconv.FormatFloat(r.Acceptance, 'f', speedDigits, 64)
	return strings.Join(f[:], ";")
}

// parseSpeed decodes the speed header of an answer; later releases may add fields.
func parseSpeed(line string) (*crspeed.Report, error) {
	f := strings.Split(line, ";")
	if len(f) < speedFields {
		return nil, crcode.New(crcode.MalformedMessage, "the speed in an answer of another node has %d fields", len(f))
	}
	var v [speedFields]float64
	for i := range v {
		var err error
		if v[i], err = strconv.ParseFloat(f[i], 64); err != nil || !(v[i] >= 0 && v[i] <= maxSpeedFigure) {
			return nil, crcode.New(crcode.MalformedMessage, "the speed in an answer of another node has malformed fields")
		}
	}
	return &crspeed.Report{
		RunTime: time.Duration(v[speedRunTime] * float64(time.Millisecond)), Slowness: v[speedSlowness], Acceptance: min(v[speedAcceptance], 1),
	}, nil
}

// maxSpeedFigure is far above each figure of the speed header: a day in milliseconds.
const maxSpeedFigure = 24 * 60 * 60 * 1000

// readSpeed reads the speed of an answer of another node; a node of the release before reports none.
func (n *Node) readSpeed(h http.Header, r *reply) {
	line := h.Get(speedHeader)
	if line == "" || n.Settings.AlikeServers {
		return
	}
	speed, err := parseSpeed(line)
	if err != nil {
		n.Counters.Add("speeds_malformed", 1)
		return
	}
	r.speed = speed
}

// recordAnswer records the answer of the server in the estimate of its speed: the load that it reports and whether it refused
// the request.
func (g *gate) recordAnswer(now time.Time, gr grant, h http.Header, refused bool) {
	gr.speed.RecordSend(now, refused)
	name := g.node.Settings.Headers.Load
	if name == "" || h.Get(name) == "" {
		return
	}
	load, err := crspeed.ParseLoad(h.Get(name))
	if err != nil {
		g.node.Counters.Add("loads_malformed", 1)
		return
	}
	gr.speed.RecordLoad(now, load)
}

// report adds the load and pressure of this gate to a reply.
func (g *gate) report(now time.Time, c *call, r *reply) {
	r.load, r.pressure, r.refused = g.feedback(), g.regulator.Pressure(), g.refusals.Share()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.speed != nil && !g.node.Settings.AlikeServers {
		v := g.speed.Report(now, c.route)
		r.speed = &v
	}
}

// recordSpeed adds the speed of a server, compared with the others of the service, to the load that its gate reported.
func (s *service) recordSpeed(server string, c *call, r *reply) {
	if r.load == nil || r.speed == nil {
		return
	}
	s.speeds.Observe(server, c.route, r.speed.RunTime)
	r.load.Speed, r.load.Slowness = s.speeds.Speed(server), s.speeds.Slowness(server, r.speed.Slowness)
	r.load.Acceptance = r.speed.Acceptance
}

// expectedRun returns the time that a run of a route takes if it starts now. The caller holds the lock.
//
// The lasting speed of the server is part of its run times, so that the pressure counts it once. Only the present slowness is
// added to them.
func (g *gate) expectedRun(now time.Time, route string) time.Duration {
	if d, ok := g.speed.Expected(now, route); ok && !g.node.Settings.AlikeServers {
		return d
	}
	return g.limiter.RunTime(route)
}

// followKnee lowers the limit to the concurrency from which more runs only add time, and raises it again.
func (g *gate) followKnee(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter == nil || g.node.Settings.AlikeServers {
		return
	}
	limit := min(concurrencyLimit(g.speed.Slots), g.speed.Knee(now))
	if !g.limiter.Bound(now, limit) {
		return
	}
	g.node.Counters.Add("limit_changes", 1)
	g.grantQueued(now)
}

// speedView returns the state of the estimate of the server's speed.
func (g *gate) speedView(now time.Time) crspeed.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.speed == nil {
		return crspeed.View{}
	}
	return g.speed.View(now)
}
