package cradmission

import "sync"

// Places limits the requests that an entrance, a node that receives client requests, holds concurrently. Ordinary requests
// take at most OrdinaryShare of the places, so that many of them leave room for protected ones.
// Fields are set before use; zero values mean 1,024 places and a share of 0.8.
type Places struct {
	Size          int
	OrdinaryShare float64

	mu    sync.Mutex
	inUse [2]int // by class
}

// Acquire acquires a place for a request of class c and reports whether one was free.
func (p *Places) Acquire(c Class) bool {
	size, ordinary := classLimits(p.Size, 1024, p.OrdinaryShare)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse[Ordinary]+p.inUse[Protected] >= size || (c == Ordinary && p.inUse[Ordinary] >= ordinary) {
		return false
	}
	p.inUse[c]++
	return true
}

// Release releases a place that Acquire took.
func (p *Places) Release(c Class) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse[c] = max(p.inUse[c]-1, 0)
}

// InUse returns the number of places in use by class.
func (p *Places) InUse() (ordinary, protected int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse[Ordinary], p.inUse[Protected]
}

// classLimits returns the size and the part of it that ordinary requests may use, with defaults for zero values.
func classLimits(size, defaultSize int, ordinaryShare float64) (total, ordinary int) {
	if size == 0 {
		size = defaultSize
	}
	if ordinaryShare == 0 {
		ordinaryShare = 0.8
	}
	return size, max(int(ordinaryShare*float64(size)), 1)
}
