package crforward

import (
	"maps"
	"sync"
)

// byRoute holds what a node has learned of routes. Values are replaced, never changed.
type byRoute[V any] struct {
	mu  sync.Mutex
	all map[string]V
}

// of returns what is known of a route, the zero value for nothing.
func (b *byRoute[V]) of(route string) V {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all[route]
}

func (b *byRoute[V]) copied() map[string]V {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.all)
}

// merge stores what f makes of what is known of a route, and takes news of one that is not known as they are.
func (b *byRoute[V]) merge(route string, news V, f func(old, news V) V) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.all == nil {
		b.all = map[string]V{}
	}
	if old, ok := b.all[route]; ok {
		news = f(old, news)
	}
	b.all[route] = news
}

// seed takes what others have learned of a route that is not known yet.
func (b *byRoute[V]) seed(route string, news V) {
	b.merge(route, news, func(old, _ V) V { return old })
}
