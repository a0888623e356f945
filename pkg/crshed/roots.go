package crshed

import "sync"

// Rates holds, by service, the share of the work offered for it that was admitted at the time when a client request was
// admitted. A missing service stands for a share of 1.
type Rates map[string]float64

// Of returns the share of a service, between 1/MaxPressure and 1.
func (r Rates) Of(service string) float64 {
	v, ok := r[service]
	if !ok {
		return 1
	}
	return clampShare(v)
}

// clampShare limits a share to the range from 1/MaxPressure to 1; NaN gives the lower bound.
func clampShare(share float64) float64 {
	if share >= 1/MaxPressure {
		return min(share, 1)
	}
	return 1 / MaxPressure
}

// RootRates averages the Rates of the root requests, the client requests behind the runs on one server. The server's calls do
// not identify the run that makes them, so each call carries the mean over all current runs. It is safe for concurrent use.
type RootRates struct {
	mu   sync.Mutex
	runs int
	// represented is, by service, the number of shed requests that the runs represent in addition to themselves.
	represented map[string]float64
}

// RunStarted adds a run.
func (r *RootRates) RunStarted(rates Rates) { r.add(rates, 1) }

// RunEnded removes a run that was added with the same rates.
func (r *RootRates) RunEnded(rates Rates) { r.add(rates, -1) }

func (r *RootRates) add(rates Rates, runs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.represented == nil {
		r.represented = map[string]float64{}
	}
	r.runs += runs
	for service := range rates {
		r.represented[service] += (1/rates.Of(service) - 1) * float64(runs)
	}
	if r.runs <= 0 {
		// Without runs only rounding errors remain.
		clear(r.represented)
	}
}

// Rates returns the rates that a call of the server carries; nil means that nothing was shed.
func (r *RootRates) Rates() Rates {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out Rates
	for service, represented := range r.represented {
		if r.runs > 0 && represented > roundingTolerance*float64(r.runs) {
			if out == nil {
				out = Rates{}
			}
			out[service] = 1 / (1 + represented/float64(r.runs))
		}
	}
	return out
}
