package crforward

import (
	"maps"
	"sync"
)

// byRoute holds what a node has learned, by route. Values are replaced as a whole, never modified.
type byRoute[V any] struct {
	mu     sync.Mutex
	values map[string]V
}

// get returns the value of a route, the zero value if there is none.
func (b *byRoute[V]) get(route string) V {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.values[route]
}

func (b *byRoute[V]) snapshot() map[string]V {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.values)
}

// merge stores f(old, value) for a route that has a value, and value itself for one that has none.
func (b *byRoute[V]) merge(route string, value V, f func(old, value V) V) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.values == nil {
		b.values = map[string]V{}
	}
	if old, ok := b.values[route]; ok {
		value = f(old, value)
	}
	b.values[route] = value
}

// setIfAbsent stores a value for a route that has none.
func (b *byRoute[V]) setIfAbsent(route string, value V) {
	b.merge(route, value, func(old, _ V) V { return old })
}
