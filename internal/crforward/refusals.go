package crforward

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/citronramp/citronramp/pkg/crshed"
)

// Optional fields in the load of an answer begin with these marks. A node of a previous release ignores fields after the first
// three.
const (
	// refusedMark begins the share of runs that the server refuses, in percent.
	refusedMark = "r"
	// refusingMark begins the name of a downstream service whose servers refuse runs.
	refusingMark = "q"
)

// formatRefused encodes the share of runs that a server refuses; nothing if it refuses none.
func formatRefused(share float64) string {
	if share <= 0 {
		return ""
	}
	return "," + refusedMark + strconv.FormatFloat(100*share, 'f', 0, 64)
}

// parseRefused returns the share of refused runs from the load field of an answer, zero if it has none.
func parseRefused(load string) float64 {
	for _, field := range strings.Split(load, ",") {
		if text, ok := strings.CutPrefix(field, refusedMark); ok {
			if percent, err := strconv.ParseFloat(text, 64); err == nil && percent > 0 {
				return min(percent, 100) / 100
			}
		}
	}
	return 0
}

// markRefusing marks the entries of the services that the load field of an answer names as refusing.
func markRefusing(board []crshed.Entry, load string) {
	for _, field := range strings.Split(load, ",") {
		name, ok := strings.CutPrefix(field, refusingMark)
		if !ok {
			continue
		}
		if service, err := url.QueryUnescape(name); err == nil {
			for i := range board {
				board[i].Refusing = board[i].Refusing || board[i].Service == service
			}
		}
	}
}

// recordRun counts a run that the server accepted or refused. The run itself is still in flight.
func (g *gate) recordRun(gr grant, refused bool) {
	g.refusals.Record(refused, gr.limiter.InFlight()-1, gr.limiter.Limit())
	if refused {
		g.node.Counters.Add("server_refusals", 1)
	}
}

// stepRefusals updates the share of runs that the server refuses and returns it.
func (g *gate) stepRefusals(now time.Time) float64 {
	g.refusals.Tick(now)
	return g.refusals.Share()
}

// shedDetail returns what an operator should know about the service for which a request was refused.
func (n *Node) shedDetail(now time.Time, service string) string {
	if n.board.Refusing(now, service) {
		return "servers_refuse"
	}
	return ""
}

// storePressure stores the pressure and the refusals that a gate reports for its server.
func (n *Node) storePressure(now time.Time, service, gate string, r *reply) {
	n.board.UpdateFromGate(now, service, gate, r.pressure, r.load.InFlight+r.load.Queued)
	n.board.UpdateCapacity(service, gate, crshed.ServerCapacity{Limit: r.load.Limit, Refused: r.refused})
}
