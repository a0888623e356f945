package crexchange

import (
	"hash/maphash"
	"slices"
)

// maxCarried bounds the requests that a connection remembers; servers that repeat an answer repeat a recent one.
const maxCarried = 32

// noID is the digest of a request without an id.
const noID = 0

var seed = maphash.MakeSeed()

// digest returns a digest of the request's id.
func (c *Client) digest(r *Request) uint64 {
	if c.ID == nil {
		return noID
	}
	id := c.ID(r.Header)
	if id == "" {
		return noID
	}
	return max(maphash.String(seed, id), noID+1)
}

// carried remembers the latest requests of a connection: an answer to an earlier one with the same id would be taken for that
// to a later one.
type carried struct {
	ids  []uint64
	next int
}

func (c *carried) has(id uint64) bool { return slices.Contains(c.ids, id) }

func (c *carried) add(id uint64) {
	if len(c.ids) < maxCarried {
		c.ids = append(c.ids, id)
		return
	}
	c.ids[c.next] = id
	c.next = (c.next + 1) % maxCarried
}
