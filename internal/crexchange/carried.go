package crexchange

import (
	"hash/maphash"
	"slices"
)

// maxCarried bounds the requests that a connection remembers; servers that repeat an answer repeat a recent one.
const maxCarried = 32

var seed = maphash.MakeSeed()

// identified reports whether the response to a request can be told from those to others.
func (c *Client) identified(r *Request) bool { return c.ID == nil || c.ID(r.Header) != "" }

// digest returns a digest of the request's id, 0 when the client knows no ids.
func (c *Client) digest(r *Request) uint64 {
	if c.ID == nil {
		return 0
	}
	return max(maphash.String(seed, c.ID(r.Header)), 1)
}

// carried remembers the latest requests of a connection: an answer to an earlier one with the same id would be taken for that
// to a later one.
type carried struct {
	ids  []uint64
	next int
}

func (c *carried) has(id uint64) bool { return slices.Contains(c.ids, id) }

func (c *carried) add(id uint64) {
	if id == 0 {
		return
	}
	if len(c.ids) < maxCarried {
		c.ids = append(c.ids, id)
		return
	}
	c.ids[c.next] = id
	c.next = (c.next + 1) % maxCarried
}
