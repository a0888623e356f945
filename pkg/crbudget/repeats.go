package crbudget

import "sync"

// Repeats counts the runs on one server and how many of them are repeats, by kind. It is safe for concurrent use.
type Repeats struct {
	mu    sync.Mutex
	kinds map[string]runCount
}

type runCount struct{ runs, repeats int }

// RunStarted adds a run of a kind.
func (r *Repeats) RunStarted(kind string, repeat bool) { r.add(kind, repeat, 1) }

// RunEnded removes a run that was added with the same arguments.
func (r *Repeats) RunEnded(kind string, repeat bool) { r.add(kind, repeat, -1) }

func (r *Repeats) add(kind string, repeat bool, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kinds == nil {
		r.kinds = map[string]runCount{}
	}
	c := r.kinds[kind]
	c.runs += n
	if repeat {
		c.repeats += n
	}
	if c.runs <= 0 {
		delete(r.kinds, kind)
		return
	}
	r.kinds[kind] = c
}

// Fraction returns the fraction of a server's calls that repeated runs make. The function weight returns how many of the calls in
// question one run of a kind has outstanding; if it is unknown for all present kinds, all runs count alike.
func (r *Repeats) Fraction(weight func(kind string) float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs, repeats := 0, 0
	for _, c := range r.kinds {
		runs += c.runs
		repeats += c.repeats
	}
	if repeats == 0 {
		return 0
	}
	weightedRuns, weightedRepeats := 0.0, 0.0
	for kind, c := range r.kinds {
		w := weight(kind)
		weightedRuns += w * float64(c.runs)
		weightedRepeats += w * float64(c.repeats)
	}
	if weightedRuns > 0 {
		return weightedRepeats / weightedRuns
	}
	return float64(repeats) / float64(runs)
}
