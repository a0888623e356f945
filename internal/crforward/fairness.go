package crforward

import (
	"time"

	"github.com/citronramp/citronramp/pkg/crfair"
	"github.com/citronramp/citronramp/pkg/crroute"
)

// admittedFraction counts a request as offered load of a service that it uses for the given time, unless that is unknown and
// zero, and returns the fraction of such requests to admit under the pressure. Where the configuration has organisations, usual
// work is admitted in the order of the priorities, as if there were no other, and the excess of organisations gets the rest.
func (n *Node) admittedFraction(now time.Time, c *call, service string, seconds, pressure float64) (fraction float64, excess bool) {
	var parts crfair.Parts
	if seconds > 0 && n.divides() {
		r := crfair.Request{
			Service: service, Organisation: c.organisation, Priority: c.priority, Group: c.priority - crroute.RoutePart(c.priority), Work: seconds,
		}
		excess, parts = n.fair.Record(now, r, pressure > 1)
		excess = excess && parts.Service > 0
	}
	if seconds > 0 && !excess {
		n.shares.RecordOffered(now, service, c.priority, time.Duration(seconds*float64(time.Second)))
	}
	usual := pressure * (1 - parts.Service)
	fraction = n.shares.AdmittedFraction(now, service, c.priority, usual)
	if !excess || pressure <= 1 {
		return fraction, excess
	}
	return parts.ExcessFraction(1/pressure, crfair.Usual{
		Total: n.shares.TotalAdmittedFraction(now, service, usual), Own: fraction,
		Next: n.shares.AdmittedFraction(now, service, c.priority+1, usual),
	}), true
}

// leastFraction returns the fraction of requests like c to admit, which is raised while the organisation of c is served less
// than its least share.
func (n *Node) leastFraction(now time.Time, c *call, service string, fraction float64) float64 {
	if !n.divides() {
		return fraction
	}
	return n.fair.AtLeast(now, crfair.Request{Service: service, Organisation: c.organisation}, fraction)
}

// totalAdmittedFraction returns the share of all work offered for a service that is admitted under the pressure.
func (n *Node) totalAdmittedFraction(now time.Time, service string, pressure float64) float64 {
	parts := crfair.Parts{Service: n.fair.Excess(service)}
	usual := n.shares.TotalAdmittedFraction(now, service, pressure*(1-parts.Service))
	return (1-parts.Service)*usual + parts.Service*parts.Rest(1/max(pressure, 1), usual)
}

// divides reports whether capacity is divided among organisations.
func (n *Node) divides() bool {
	t := n.table.Load()
	return t != nil && t.HasOrganisations()
}
