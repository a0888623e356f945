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

// notice is a small value for all gates of a service, crash suspects for instance.
type notice struct {
	*crwire.DirectoryNotice
	until time.Time
}

// message returns the notice with the time that it has left.
func (n *notice) message(now time.Time) *crwire.DirectoryNotice {
	m := proto.Clone(n.DirectoryNotice).(*crwire.DirectoryNotice)
	m.ExpiresInMs = n.until.Sub(now).Milliseconds()
	return m
}

// Publish takes a notice from a node and passes it on at once, since a crashing request is sent again within moments.
func (c *Core) Publish(now time.Time, m *crwire.DirectoryNotice) ([]Output, error) {
	life := time.Duration(m.GetExpiresInMs()) * time.Millisecond
	if m.GetKey() == "" || len(m.GetKey())+len(m.GetValue())+len(m.GetService()) > maxNoticeBytes ||
		m.GetExpiresInMs() <= 0 || m.GetExpiresInMs() > maxNoticeLife.Milliseconds() {
		return nil, crcode.New(crcode.BadRequest, "a notice needs a key, at most %d bytes and an expiry of at most %v, not %v", maxNoticeBytes, maxNoticeLife, life)
	}
	if !c.store(now, m) {
		return nil, nil
	}
	for _, link := range slices.Sorted(maps.Keys(c.listeners)) {
		c.toPeer(link, &crwire.DirectoryExchange{Notices: []*crwire.DirectoryNotice{m}})
	}
	c.updateNotices(now)
	return c.take(), nil
}

// store keeps a notice unless a newer one with its key is known; when there are too many, the one that ends first is
// dropped.
func (c *Core) store(now time.Time, m *crwire.DirectoryNotice) bool {
	all := c.notices[m.GetService()]
	if old := all[m.GetKey()]; old != nil && old.GetVersion() >= m.GetVersion() || m.GetExpiresInMs() <= 0 {
		return false
	}
	if all == nil {
		all = map[string]*notice{}
		c.notices[m.GetService()] = all
	}
	c.counts.Notices++
	all[m.GetKey()] = &notice{m, now.Add(time.Duration(m.GetExpiresInMs()) * time.Millisecond)}
	if len(all) > MaxNotices {
		first := slices.MinFunc(c.sortedNotices(m.GetService()), func(a, b *notice) int { return a.until.Compare(b.until) })
		delete(all, first.GetKey())
		c.counts.NoticesFull++
		return first.GetKey() != m.GetKey()
	}
	return true
}

func (c *Core) sortedNotices(service string) []*notice {
	return slices.SortedFunc(maps.Values(c.notices[service]), func(a, b *notice) int { return cmp.Compare(a.GetKey(), b.GetKey()) })
}

func (c *Core) expireNotices(now time.Time) {
	for service, all := range c.notices {
		for key, n := range all {
			if now.After(n.until) {
				delete(all, key)
			}
		}
		if len(all) == 0 {
			delete(c.notices, service)
		}
	}
	for _, w := range c.watchers {
		for id := range w.known {
			if c.notices[id[0]][id[1]] == nil {
				delete(w.known, id)
			}
		}
	}
}

// updateNotices sends each watcher the notices that it lacks.
func (c *Core) updateNotices(now time.Time) {
	if len(c.notices) == 0 {
		return
	}
	for _, link := range slices.Sorted(maps.Keys(c.watchers)) {
		w := c.watchers[link]
		m := &crwire.DirectoryUpdate{}
		for service := range w.notices {
			for _, n := range c.sortedNotices(service) {
				id := [2]string{service, n.GetKey()}
				if v, ok := w.known[id]; !ok || v < n.GetVersion() {
					w.known[id] = n.GetVersion()
					m.Notices = append(m.Notices, n.message(now))
				}
			}
		}
		if len(m.GetNotices()) > 0 {
			c.out = append(c.out, ToWatcher{Link: link, Message: m})
		}
	}
}
