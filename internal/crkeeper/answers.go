package crkeeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

// defaultAnswerBytes is the default limit for the whole answers that a gate stores, so that a node stays within its memory
// limit of 64 MB.
const defaultAnswerBytes = 16 << 20

// answerOverhead is the approximate memory of a stored answer in addition to its body and id.
const answerOverhead = 256

// AnswerStore stores the whole answers of the requests that this gate has run. It evicts the oldest answers to stay within its
// size limit.
type AnswerStore struct {
	// Self names this node.
	Self crrecord.Member
	// MaxBytes limits the memory in use; zero means 16 MiB.
	MaxBytes int64
	// Now is the clock that the RPC handler uses.
	Now Clock

	mu    sync.Mutex
	byID  map[string]*keptAnswer
	order []*keptAnswer
	bytes int64
}

type keptAnswer struct {
	id     string
	digest crrecord.Digest
	answer crrecord.Answer
	at     time.Duration
	size   int64
}

// Register adds the RPC method that returns whole answers to other gates.
func (a *AnswerStore) Register(m *crwire.Mux) {
	crwire.Handle(m, methodAnswer, func(_ context.Context, _ *crwire.Session, req *crwire.AnswerRequest) (*crwire.RecordAnswer, error) {
		if err := checkIncarnation(a.Self, req.GetTargetIncarnation()); err != nil {
			return nil, err
		}
		id, digest, err := idAndDigest(req.GetId(), req.GetDigest())
		if err != nil {
			return nil, err
		}
		answer, ok := a.Get(a.Now(), id, digest)
		if !ok {
			return nil, crcode.New(crcode.AnswerNotKept, "%s", req.GetId())
		}
		return wireAnswer(answer), nil
	})
}

// Store stores the whole answer of a run for the lifetime of its record. An answer larger than the limit is not stored.
func (a *AnswerStore) Store(now crrecord.Instant, id crrecord.ID, digest crrecord.Digest, answer crrecord.Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.MaxBytes
	if limit <= 0 {
		limit = defaultAnswerBytes
	}
	k := &keptAnswer{id: id.String(), digest: digest, answer: answer, at: now.Elapsed}
	k.size = answerOverhead + int64(len(k.id)+len(answer.Body)+len(answer.ContentType))
	if k.size > limit || a.byID[k.id] != nil {
		return
	}
	a.evict(now, limit-k.size)
	if a.byID == nil {
		a.byID = make(map[string]*keptAnswer)
	}
	a.byID[k.id] = k
	a.order = append(a.order, k)
	a.bytes += k.size
}

// evict removes expired answers, then the oldest ones until at most limit bytes are in use.
func (a *AnswerStore) evict(now crrecord.Instant, limit int64) {
	n := 0
	for _, k := range a.order {
		if now.Elapsed-k.at < crrecord.Lifetime && a.bytes <= limit {
			break
		}
		delete(a.byID, k.id)
		a.bytes -= k.size
		n++
	}
	a.order = slices.Delete(a.order, 0, n)
}

// Get returns the whole answer for the id if it is stored, not expired and has the same digest.
func (a *AnswerStore) Get(now crrecord.Instant, id crrecord.ID, digest crrecord.Digest) (crrecord.Answer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := a.byID[id.String()]
	if k == nil || k.digest != digest || now.Elapsed-k.at >= crrecord.Lifetime {
		return crrecord.Answer{}, false
	}
	return k.answer, true
}

// Bytes returns the approximate memory in use.
func (a *AnswerStore) Bytes() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}
