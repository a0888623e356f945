package crnode

import (
	"context"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

const (
	// lookupWait is how long the first request for a service waits for its configuration.
	lookupWait = time.Second
	// lookupsPerSecond bounds how often callers can make the node ask for services that may not exist.
	lookupsPerSecond = 10
)

// lookupRate counts the services asked for within a second.
type lookupRate struct {
	second int64
	n      int
}

func (l *lookupRate) allow(now time.Time) bool {
	if s := now.Unix(); s != l.second {
		l.second, l.n = s, 0
	}
	l.n++
	return l.n <= lookupsPerSecond
}

// findKind returns a kind, and asks the tree for its service when this node does not follow it yet.
func (n *Node) findKind(ctx context.Context, service, name string) (kindInfo, error) {
	k, err := n.kind(service, name)
	if crcode.Of(err) != crcode.UnknownService || n.followed(service) || !n.follow(service) {
		return k, err
	}
	ctx, cancel := context.WithTimeout(ctx, lookupWait)
	defer cancel()
	for !n.followed(service) {
		select {
		case <-n.updates():
		case <-ctx.Done():
			return kindInfo{}, &crcode.Error{Code: crcode.NotConfigured, Detail: "service " + service, RetryAfter: lookupWait}
		}
	}
	k, err = n.kind(service, name)
	if crcode.Of(err) == crcode.UnknownService {
		n.unfollow(service)
	}
	return k, err
}

// follow makes the node watch a service that it is asked for.
func (n *Node) follow(service string) bool {
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	if !n.watched[service] {
		if !n.lookups.allow(time.Now()) {
			return false
		}
		n.watched[service] = true
		n.watchLocked()
	}
	return true
}

func (n *Node) unfollow(service string) {
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	if service == n.Settings.Service {
		return
	}
	delete(n.watched, service)
	n.watchLocked()
}

// followed reports whether the view covers a service.
func (n *Node) followed(service string) bool {
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	return n.covered[service]
}

// updates returns a channel that is closed at the next update of the configuration.
func (n *Node) updates() <-chan struct{} {
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	return n.changed
}

// cover notes which services the view covers and wakes those who wait for one.
func (n *Node) cover(services []string) {
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	n.covered = make(map[string]bool, len(services))
	for _, s := range services {
		n.covered[s] = true
	}
	close(n.changed)
	n.changed = make(chan struct{})
}
