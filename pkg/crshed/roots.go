package crshed

import "sync"

// Rates holds by service the part of the work offered for it that was let in when a request of a client was; a service that
// it leaves out lets everything in.
type Rates map[string]float64

// Of returns the part of a service, within the bounds of a pressure.
func (r Rates) Of(service string) float64 {
	v, ok := r[service]
	if !ok {
		return 1
	}
	return clampShare(v)
}

// clampShare returns a share within the bounds of a pressure, the least one for what is no number.
func clampShare(share float64) float64 {
	if share >= 1/MaxPressure {
		return min(share, 1)
	}
	return 1 / MaxPressure
}

// Roots holds what was let in when the clients' requests were that the runs of one server belong to. The server's calls carry
// no mark of the run that makes them, so each of them gets the mean of all runs. It is safe for concurrent use.
type Roots struct {
	mu   sync.Mutex
	runs int
	// more is how many requests beyond the runs themselves these stand for, by service.
	more map[string]float64
}

// Began adds a run.
func (r *Roots) Began(rates Rates) { r.add(rates, 1) }

// Ended takes out a run that began with the same rates.
func (r *Roots) Ended(rates Rates) { r.add(rates, -1) }

func (r *Roots) add(rates Rates, runs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.more == nil {
		r.more = map[string]float64{}
	}
	r.runs += runs
	for service := range rates {
		r.more[service] += (1/rates.Of(service) - 1) * float64(runs)
	}
	if r.runs <= 0 {
		// What is left are errors of rounding.
		clear(r.more)
	}
}

// Rates returns what a call of one of the runs carries; nil rates everything in.
func (r *Roots) Rates() Rates {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out Rates
	for service, more := range r.more {
		if r.runs > 0 && more > roundingError*float64(r.runs) {
			if out == nil {
				out = Rates{}
			}
			out[service] = 1 / (1 + more/float64(r.runs))
		}
	}
	return out
}
