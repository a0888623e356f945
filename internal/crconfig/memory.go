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
	// MaxCommandIDs is the number of command ids that are kept with their answers.
	MaxCommandIDs = 10000
	// MaxCommandIDAhead is how far the creation time of a command id may be ahead of the time of the proposal.
	MaxCommandIDAhead = time.Minute
)

// commandCache deduplicates commands: it keeps the answers of the commands whose ids have the latest creation times, so
// that a resent command gets its original answer in place of a second execution.
type commandCache struct {
	byID   map[string]*cachedCommand
	oldest cachedCommandHeap
	// fence is the latest creation time of an evicted id. An unknown id created at that time or before may have been
	// evicted, so its command is refused.
	fence int64
}

type cachedCommand struct {
	id      string
	created int64
	digest  [sha256.Size]byte
	answer  *crwire.ConfigAnswer
}

func newCommandCache() commandCache { return commandCache{byID: make(map[string]*cachedCommand)} }

// check returns the digest of the command. If the id is known or not allowed it also returns the answer, and the command
// must not be executed.
func (m *commandCache) check(cmd *crwire.ConfigCommand) ([sha256.Size]byte, *crwire.ConfigAnswer) {
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
		replay := proto.Clone(r.answer).(*crwire.ConfigAnswer)
		replay.Replayed = true
		return digest, replay
	}
	if created <= m.fence {
		return digest, refuse(crcode.CommandIDTooOld, "", "the id %s is too old to tell whether it ran; read the object, then use a new id", cmd.CommandId)
	}
	if created > cmd.ProposedMs+MaxCommandIDAhead.Milliseconds() {
		return digest, refuse(crcode.BadValue, "", "the id %s is more than %s in the future; correct the clock, then use a new id", cmd.CommandId, MaxCommandIDAhead)
	}
	return digest, nil
}

// commandDigest returns the hash of the command without the time of its proposal, which differs when the command is
// resent.
func commandDigest(cmd *crwire.ConfigCommand) ([sha256.Size]byte, error) {
	stable := proto.Clone(cmd).(*crwire.ConfigCommand)
	stable.ProposedMs = 0
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(stable)
	return sha256.Sum256(data), err
}

// add stores an answer. Over the limit it evicts the id with the earliest creation time.
func (m *commandCache) add(id string, digest [sha256.Size]byte, answer *crwire.ConfigAnswer) {
	created, err := ParseCommandID(id)
	if err != nil {
		return
	}
	r := &cachedCommand{id: id, created: created, digest: digest, answer: answer}
	m.byID[id] = r
	heap.Push(&m.oldest, r)
	if len(m.oldest) > MaxCommandIDs {
		evicted := heap.Pop(&m.oldest).(*cachedCommand)
		delete(m.byID, evicted.id)
		m.fence = max(m.fence, evicted.created)
	}
}

// cachedCommandHeap is a min-heap ordered by creation time, then by id, so that all replicas evict the same ids. It
// implements heap.Interface.
type cachedCommandHeap []*cachedCommand

// Len returns the number of commands.
func (h cachedCommandHeap) Len() int { return len(h) }

// Less reports whether command i is evicted before command j.
func (h cachedCommandHeap) Less(i, j int) bool {
	return h[i].created < h[j].created || h[i].created == h[j].created && h[i].id < h[j].id
}

// Swap swaps two commands.
func (h cachedCommandHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a command.
func (h *cachedCommandHeap) Push(x any) { *h = append(*h, x.(*cachedCommand)) }

// Pop removes and returns the last command.
func (h *cachedCommandHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
