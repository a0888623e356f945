package crnode

import (
	"context"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

const (
	// lookupWait bounds how long the first request for a service waits for its configuration.
	lookupWait = time.Second
	// lookupsPerSecond bounds how often callers can make the node subscribe to services that may not exist.
	lookupsPerSecond = 10
)

// lookupRate counts the lookups of services within a second.
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

// findKind returns a kind. When this node does not watch the kind's service yet, it subscribes to the service in the
// configuration tree and waits for its configuration.
func (n *Node) findKind(ctx context.Context, service, name string) (kindInfo, error) {
	k, err := n.kind(service, name)
	if crcode.Of(err) != crcode.UnknownService || n.isCovered(service) || !n.watchService(service) {
		return k, err
	}
	ctx, cancel := context.WithTimeout(ctx, lookupWait)
	defer cancel()
	for !n.isCovered(service) {
		select {
		case <-n.configUpdates():
		case <-ctx.Done():
			return kindInfo{}, &crcode.Error{Code: crcode.NotConfigured, Detail: "service " + service, RetryAfter: lookupWait}
		}
	}
	k, err = n.kind(service, name)
	if crcode.Of(err) == crcode.UnknownService {
		n.unwatchService(service)
	}
	return k, err
}

// watchService subscribes to a service. It reports false when the lookup rate is exceeded.
func (n *Node) watchService(service string) bool {
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	if !n.watched[service] {
		if !n.lookups.allow(time.Now()) {
			return false
		}
		n.watched[service] = true
		n.updateWatchesLocked()
	}
	return true
}

func (n *Node) unwatchService(service string) {
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	if service == n.Settings.Service {
		return
	}
	delete(n.watched, service)
	n.updateWatchesLocked()
}

// isCovered reports whether the view holds the configuration of a service.
func (n *Node) isCovered(service string) bool {
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	return n.covered[service]
}

// configUpdates returns a channel that is closed at the next update of the configuration.
func (n *Node) configUpdates() <-chan struct{} {
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	return n.configChanged
}

// setCovered stores which services the view covers and wakes the callers that wait for an update.
func (n *Node) setCovered(services []string) {
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	n.covered = make(map[string]bool, len(services))
	for _, s := range services {
		n.covered[s] = true
	}
	close(n.configChanged)
	n.configChanged = make(chan struct{})
}
