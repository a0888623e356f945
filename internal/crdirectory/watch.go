package crdirectory

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// watcher is a node that watches services.
type watcher struct {
	link     uint64
	node     string
	domain   string
	services map[string]*watchedService
	notices  map[string]bool
	// sentNotices holds the newest version of each notice that was sent.
	sentNotices map[noticeID]uint64
	// entrances is the list that was sent last; entrancesAt is when the list was last computed.
	entrances   []string
	entrancesAt time.Time
}

// watchedService is the subset of one service as it was sent to the watcher.
type watchedService struct {
	sent map[string]uint64
	// clientDigest is the digest of the subset that the watcher held at the start; it is used for the first update
	// only.
	clientDigest uint64
	full         bool
	dirty        bool
}

// scheduleFullUpdates makes the next update of each service a full one. When the directory is settled, the watcher
// may remove the servers that it lacks.
func (w *watcher) scheduleFullUpdates() {
	for _, s := range w.services {
		s.full, s.dirty = true, true
	}
}

// Watch starts or replaces the watch of a link.
func (c *Core) Watch(now time.Time, link uint64, m *crwire.DirectoryWatch) ([]Output, error) {
	if m.GetNode() == "" || len(m.GetServices()) > maxWatched || len(m.GetNotices()) > maxWatched {
		return nil, crcode.New(crcode.BadRequest, "bad watch")
	}
	w := &watcher{
		link: link, node: m.GetNode(), domain: m.GetDomain(), services: map[string]*watchedService{},
		notices: map[string]bool{}, sentNotices: map[noticeID]uint64{},
	}
	for _, s := range m.GetServices() {
		w.services[s.GetService()] = &watchedService{clientDigest: s.GetDigest(), full: true, dirty: true}
	}
	for _, s := range m.GetNotices() {
		w.notices[s] = true
	}
	c.watchers[link] = w
	c.sendAllNotices(now, w)
	return c.takeOutputs(), nil
}

// Unwatch ends the watch of a link.
func (c *Core) Unwatch(link uint64) { delete(c.watchers, link) }

// markChanged marks a service for the next update of its watchers.
func (c *Core) markChanged(service string) {
	c.changedServices[service] = true
}

// markWatchersDirty marks the changed services in each watcher.
func (c *Core) markWatchersDirty() {
	if len(c.changedServices) == 0 {
		return
	}
	for _, w := range c.watchers {
		for service, s := range w.services {
			s.dirty = s.dirty || c.changedServices[service]
		}
	}
	clear(c.changedServices)
}

// sendUpdates sends changed subsets to watchers. Updates above the limits wait for a later tick; the first watcher
// changes from tick to tick, so that every one is served.
func (c *Core) sendUpdates(now time.Time) {
	c.markWatchersDirty()
	c.refreshEntrances(now)
	bytes, hashes := 0, 0
	links := slices.Sorted(maps.Keys(c.watchers))
	first := 0
	if len(links) > 0 {
		first = int(c.counts.Updates) % len(links)
	}
	for i := range links {
		w := c.watchers[links[(first+i)%len(links)]]
		if bytes >= maxTickBytes || hashes >= maxTickHashes {
			return
		}
		m, n, h := c.watcherUpdate(now, w)
		bytes += n
		hashes += h
		if m != nil {
			c.counts.Updates++
			c.counts.UpdateBytes += uint64(n)
			c.outputs = append(c.outputs, ToWatcher{Link: w.link, Message: m})
		}
	}
}

// watcherUpdate returns the update of one watcher, nil when there is none, its size, and the number of hashes that it
// needed.
func (c *Core) watcherUpdate(now time.Time, w *watcher) (m *crwire.DirectoryUpdate, bytes, hashes int) {
	m = &crwire.DirectoryUpdate{}
	for _, service := range slices.Sorted(maps.Keys(w.services)) {
		s := w.services[service]
		if !s.dirty || bytes >= maxWatcherBytes || hashes >= maxTickHashes {
			continue
		}
		s.dirty = false
		hashes += len(c.services[service])
		if sub := c.subsetChange(w, service, s); sub != nil {
			bytes += proto.Size(sub)
			m.Subsets = append(m.Subsets, sub)
		}
	}
	if w.entrancesAt.IsZero() || now.Sub(w.entrancesAt) >= entrancesInterval {
		w.entrancesAt = now
		hashes += len(c.entranceCandidates)
		if list := c.Entrances(w.node, w.domain); !slices.Equal(list, w.entrances) && (c.settled || len(list) > len(w.entrances)) {
			w.entrances, m.Entrances = list, list
		}
	}
	if len(m.GetSubsets())+len(m.GetEntrances()) == 0 {
		return nil, 0, hashes
	}
	return m, bytes, hashes
}

// subsetChange returns the change of one subset since the last update, nil when there is none.
func (c *Core) subsetChange(w *watcher, service string, s *watchedService) *crwire.DirectorySubset {
	entries := c.Subset(w.node, w.domain, service)
	sub := &crwire.DirectorySubset{Service: service, Full: s.full, Settled: c.settled}
	current := make(map[string]uint64, len(entries))
	for _, e := range entries {
		digest := entryDigest(e)
		current[e.GetNode()] = digest
		if old, ok := s.sent[e.GetNode()]; s.full || !ok || old != digest {
			sub.Changed = append(sub.Changed, e)
		}
	}
	if !s.full {
		for _, name := range slices.Sorted(maps.Keys(s.sent)) {
			if _, ok := current[name]; !ok {
				sub.Removed = append(sub.Removed, name)
			}
		}
	}
	unchanged := s.full && s.clientDigest != 0 && s.clientDigest == SubsetDigest(entries)
	s.sent, s.full, s.clientDigest = current, false, 0
	if unchanged || !sub.GetFull() && len(sub.GetChanged())+len(sub.GetRemoved()) == 0 {
		return nil
	}
	return sub
}
