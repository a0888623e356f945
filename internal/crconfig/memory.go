package crconfig

import (
	"container/heap"
	"crypto/sha256"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

const (
	// MaxCommandIDs is how many command ids are remembered with their answers.
	MaxCommandIDs = 10000
	// MaxIDAhead is how far the creation time of a command id may lie after the time of the proposal.
	MaxIDAhead = time.Minute
)

// memory remembers the command ids with the latest creation times and the answers of their commands.
type memory struct {
	byID   map[string]*remembered
	oldest rememberedHeap
	// fence is the latest creation time of a forgotten id; an unknown id that is not later could be a forgotten one.
	fence int64
}

type remembered struct {
	id      string
	created int64
	digest  [sha256.Size]byte
	answer  *crwire.ConfigAnswer
}

func newMemory() memory { return memory{byID: make(map[string]*remembered)} }

// check returns the digest of the command and, when its id is known or not allowed, the answer.
func (m *memory) check(cmd *crwire.ConfigCommand) ([sha256.Size]byte, *crwire.ConfigAnswer) {
	created, err := ParseCommandID(cmd.CommandId)
	if err != nil {
		return [sha256.Size]byte{}, refusal(err)
	}
	digest, err := commandDigest(cmd)
	if err != nil {
		return digest, refuse(crcode.Internal, "", "the command cannot be encoded")
	}
	if r := m.byID[cmd.CommandId]; r != nil {
		if r.digest != digest {
			return digest, refuse(crcode.CommandIDReused, r.answer.Key, "the id %s was used for another command; use a new id", cmd.CommandId)
		}
		again := proto.Clone(r.answer).(*crwire.ConfigAnswer)
		again.Replayed = true
		return digest, again
	}
	if created <= m.fence {
		return digest, refuse(crcode.CommandIDTooOld, "", "the id %s is too old to tell whether it ran; read the object, then use a new id", cmd.CommandId)
	}
	if created > cmd.ProposedMs+MaxIDAhead.Milliseconds() {
		return digest, refuse(crcode.BadValue, "", "the id %s is more than %s in the future; correct the clock, then use a new id", cmd.CommandId, MaxIDAhead)
	}
	return digest, nil
}

// commandDigest covers the command without the time of its proposal, which differs when it is sent again.
func commandDigest(cmd *crwire.ConfigCommand) ([sha256.Size]byte, error) {
	same := proto.Clone(cmd).(*crwire.ConfigCommand)
	same.ProposedMs = 0
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(same)
	return sha256.Sum256(data), err
}

// add remembers an answer and forgets the id with the earliest creation time when there are too many.
func (m *memory) add(id string, digest [sha256.Size]byte, answer *crwire.ConfigAnswer) {
	created, err := ParseCommandID(id)
	if err != nil {
		return
	}
	r := &remembered{id: id, created: created, digest: digest, answer: answer}
	m.byID[id] = r
	heap.Push(&m.oldest, r)
	if len(m.oldest) > MaxCommandIDs {
		old := heap.Pop(&m.oldest).(*remembered)
		delete(m.byID, old.id)
		m.fence = max(m.fence, old.created)
	}
}

// rememberedHeap orders by creation time, then by id, so that every replica forgets the same.
type rememberedHeap []*remembered

// Len returns the number of items.
func (h rememberedHeap) Len() int { return len(h) }

// Less orders the items.
func (h rememberedHeap) Less(i, j int) bool {
	return h[i].created < h[j].created || h[i].created == h[j].created && h[i].id < h[j].id
}

// Swap exchanges two items.
func (h rememberedHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an item at the end.
func (h *rememberedHeap) Push(x any) { *h = append(*h, x.(*remembered)) }

// Pop removes the item at the end.
func (h *rememberedHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
