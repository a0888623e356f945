package crspeed

import (
	"math"
	"time"
)

const (
	// refusalPeriod is the time over which refusals are counted; refusals of a server come and go within seconds.
	refusalPeriod = 500 * time.Millisecond
	// assumedAccepted is the number of accepted requests that are assumed beside the counted ones, so that one refusal of
	// an idle server is no rate.
	assumedAccepted = 2
)

// refusals counts the requests that a server accepted and refused, fading with time.
type refusals struct {
	accepted, refused float64
	at                time.Time
}

func (r *refusals) record(now time.Time, refused bool) {
	kept := r.kept(now)
	r.accepted *= kept
	r.refused *= kept
	if refused {
		r.refused++
	} else {
		r.accepted++
	}
	r.at = now
}

func (r *refusals) kept(now time.Time) float64 {
	if r.at.IsZero() {
		return 1
	}
	return math.Exp(-max(now.Sub(r.at), 0).Seconds() / refusalPeriod.Seconds())
}

// acceptance returns the share of requests that were not refused; it returns to 1 without requests.
func (r *refusals) acceptance(now time.Time) float64 {
	kept := r.kept(now)
	accepted := r.accepted*kept + assumedAccepted
	return accepted / (accepted + r.refused*kept)
}
