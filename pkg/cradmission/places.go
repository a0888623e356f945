package cradmission

import "sync"

// Places bounds the requests that an entrance holds at once. Ordinary requests take at most OrdinaryShare of them, so
// a flood of ordinary requests leaves room for protected ones.
// Fields are set before use; zero fields mean 1,024 places and 0.8.
type Places struct {
	Size          int
	OrdinaryShare float64

	mu    sync.Mutex
	taken [2]int // by class
}

// Take takes a place for a request of class c and reports whether there was one.
func (p *Places) Take(c Class) bool {
	size, ordinary := bounds(p.Size, 1024, p.OrdinaryShare)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taken[Ordinary]+p.taken[Protected] >= size || (c == Ordinary && p.taken[Ordinary] >= ordinary) {
		return false
	}
	p.taken[c]++
	return true
}

// Give returns a place that Take granted.
func (p *Places) Give(c Class) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken[c] = max(p.taken[c]-1, 0)
}

// Taken returns the places in use by class.
func (p *Places) Taken() (ordinary, protected int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.taken[Ordinary], p.taken[Protected]
}

// bounds returns the size and how much of it ordinary requests may hold, with defaults for zero values.
func bounds(size, defaultSize int, share float64) (all, ordinary int) {
	if size == 0 {
		size = defaultSize
	}
	if share == 0 {
		share = 0.8
	}
	return size, max(int(share*float64(size)), 1)
}
