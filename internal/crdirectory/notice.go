package crdirectory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// notice is a small value that is distributed to the gates (the admission control at the nodes) of a service, for
// example the fingerprint of a request suspected of crashing servers.
type notice struct {
	*crwire.DirectoryNotice
	expiresAt time.Time
}

// noticeID identifies a notice.
type noticeID struct{ service, key string }

func (id noticeID) compare(o noticeID) int {
	return cmp.Or(cmp.Compare(id.service, o.service), cmp.Compare(id.key, o.key))
}

// message returns the notice with its remaining lifetime.
func (n *notice) message(now time.Time) *crwire.DirectoryNotice {
	m := proto.Clone(n.DirectoryNotice).(*crwire.DirectoryNotice)
	m.ExpiresInMs = n.expiresAt.Sub(now).Milliseconds()
	return m
}

// Publish stores a notice of a node and sends it to peers and watchers immediately, because a crashing request is
// retried within moments.
func (c *Core) Publish(now time.Time, m *crwire.DirectoryNotice) ([]Output, error) {
	lifetime := time.Duration(m.GetExpiresInMs()) * time.Millisecond
	if m.GetKey() == "" || len(m.GetKey())+len(m.GetValue())+len(m.GetService()) > maxNoticeBytes ||
		m.GetExpiresInMs() <= 0 || m.GetExpiresInMs() > maxNoticeLifetime.Milliseconds() {
		return nil, crcode.New(crcode.BadRequest, "a notice needs a key, at most %d bytes and an expiry of at most %v, not %v", maxNoticeBytes, maxNoticeLifetime, lifetime)
	}
	if !c.storeNotice(now, m) {
		return nil, nil
	}
	for _, link := range slices.Sorted(maps.Keys(c.exchangeLinks)) {
		c.sendToPeer(link, &crwire.DirectoryExchange{Notices: []*crwire.DirectoryNotice{m}})
	}
	c.sendUnsentNotices(now)
	return c.takeOutputs(), nil
}

// storeNotice stores a notice unless the same or a newer version is known and reports whether it was kept. When the
// service has too many notices, the one that expires first is dropped.
func (c *Core) storeNotice(now time.Time, m *crwire.DirectoryNotice) bool {
	all := c.notices[m.GetService()]
	if old := all[m.GetKey()]; old != nil && old.GetVersion() >= m.GetVersion() || m.GetExpiresInMs() <= 0 {
		return false
	}
	if all == nil {
		all = map[string]*notice{}
		c.notices[m.GetService()] = all
	}
	c.counts.Notices++
	c.unsentNotices[noticeID{m.GetService(), m.GetKey()}] = true
	all[m.GetKey()] = &notice{m, now.Add(time.Duration(m.GetExpiresInMs()) * time.Millisecond)}
	if len(all) > MaxNotices {
		first := slices.MinFunc(c.sortedNotices(m.GetService()), func(a, b *notice) int { return a.expiresAt.Compare(b.expiresAt) })
		c.dropNotice(noticeID{m.GetService(), first.GetKey()})
		c.counts.NoticesFull++
		return first.GetKey() != m.GetKey()
	}
	return true
}

func (c *Core) sortedNotices(service string) []*notice {
	return slices.SortedFunc(maps.Values(c.notices[service]), func(a, b *notice) int { return cmp.Compare(a.GetKey(), b.GetKey()) })
}

// Notices returns all notices with their remaining lifetimes.
func (c *Core) Notices(now time.Time) []*crwire.DirectoryNotice {
	var out []*crwire.DirectoryNotice
	for _, service := range slices.Sorted(maps.Keys(c.notices)) {
		for _, n := range c.sortedNotices(service) {
			out = append(out, n.message(now))
		}
	}
	return out
}

func (c *Core) expireNotices(now time.Time) {
	for service, all := range c.notices {
		for key, n := range all {
			if now.After(n.expiresAt) {
				c.dropNotice(noticeID{service, key})
			}
		}
		if len(all) == 0 {
			delete(c.notices, service)
		}
	}
}

func (c *Core) dropNotice(id noticeID) {
	delete(c.notices[id.service], id.key)
	for _, w := range c.watchers {
		delete(w.sentNotices, id)
	}
}

// sendUnsentNotices sends each watcher the unsent notices of its services.
func (c *Core) sendUnsentNotices(now time.Time) {
	if len(c.unsentNotices) == 0 {
		return
	}
	unsent := slices.SortedFunc(maps.Keys(c.unsentNotices), noticeID.compare)
	clear(c.unsentNotices)
	for _, link := range slices.Sorted(maps.Keys(c.watchers)) {
		c.sendNotices(now, c.watchers[link], unsent)
	}
}

// sendAllNotices sends a new watcher all notices of its services.
func (c *Core) sendAllNotices(now time.Time, w *watcher) {
	var all []noticeID
	for _, service := range slices.Sorted(maps.Keys(w.notices)) {
		for _, n := range c.sortedNotices(service) {
			all = append(all, noticeID{service, n.GetKey()})
		}
	}
	for part := range slices.Chunk(all, maxMessageEntries) {
		c.sendNotices(now, w, part)
	}
}

func (c *Core) sendNotices(now time.Time, w *watcher, ids []noticeID) {
	m := &crwire.DirectoryUpdate{}
	for _, id := range ids {
		n := c.notices[id.service][id.key]
		if n == nil || !w.notices[id.service] {
			continue
		}
		if v, ok := w.sentNotices[id]; !ok || v < n.GetVersion() {
			w.sentNotices[id] = n.GetVersion()
			m.Notices = append(m.Notices, n.message(now))
		}
	}
	if len(m.GetNotices()) > 0 {
		c.outputs = append(c.outputs, ToWatcher{Link: w.link, Message: m})
	}
}
