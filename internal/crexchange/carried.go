package crexchange

import (
	"hash/maphash"
	"slices"
)

// maxRecentRequests bounds the requests that a connection remembers; servers that repeat an answer repeat a recent one.
const maxRecentRequests = 32

var seed = maphash.MakeSeed()

// identifiable reports whether the response to the request can be distinguished from responses to other requests.
func (c *Client) identifiable(r *Request) bool { return c.ID == nil || c.ID(r.Header) != "" }

// digest returns a digest of the request's id, 0 when the client uses no ids.
func (c *Client) digest(r *Request) uint64 {
	if c.ID == nil {
		return 0
	}
	return max(maphash.String(seed, c.ID(r.Header)), 1)
}

// recentRequests holds the ids of the latest requests of a connection. An answer to an earlier request would be accepted
// for a later one with the same id.
type recentRequests struct {
	ids  []uint64
	next int
}

func (c *recentRequests) has(id uint64) bool { return slices.Contains(c.ids, id) }

func (c *recentRequests) add(id uint64) {
	if id == 0 {
		return
	}
	if len(c.ids) < maxRecentRequests {
		c.ids = append(c.ids, id)
		return
	}
	c.ids[c.next] = id
	c.next = (c.next + 1) % maxRecentRequests
}
