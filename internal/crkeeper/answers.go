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

// defaultAnswerBytes bounds the whole answers that a gate keeps, so that a node stays within its 64 MB.
const defaultAnswerBytes = 16 << 20

// answerOverhead approximates the memory of a kept answer besides its body and id.
const answerOverhead = 256

// Answers holds the whole answers of the runs of this gate; the oldest give way to the byte bound.
type Answers struct {
	// Self names this node.
	Self crrecord.Member
	// MaxBytes bounds the memory; zero means 16 MiB.
	MaxBytes int64
	// Now is the clock of the handler.
	Now Clock

	mu    sync.Mutex
	byID  map[string]*kept
	order []*kept
	bytes int64
}

type kept struct {
	id     string
	digest crrecord.Digest
	answer crrecord.Answer
	at     time.Duration
	size   int64
}

// Register adds the method that serves whole answers to other gates.
func (a *Answers) Register(m *crwire.Mux) {
	crwire.Handle(m, methodAnswer, func(_ context.Context, _ *crwire.Session, req *crwire.AnswerRequest) (*crwire.RecordAnswer, error) {
		if err := meant(a.Self, req.GetTargetIncarnation()); err != nil {
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

// Keep stores the whole answer of a run for the lifetime of its record; one over the byte bound is not kept.
func (a *Answers) Keep(now crrecord.Instant, id crrecord.ID, digest crrecord.Digest, answer crrecord.Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.MaxBytes
	if limit <= 0 {
		limit = defaultAnswerBytes
	}
	k := &kept{id: id.String(), digest: digest, answer: answer, at: now.Elapsed}
	k.size = answerOverhead + int64(len(k.id)+len(answer.Body)+len(answer.ContentType))
	if k.size > limit || a.byID[k.id] != nil {
		return
	}
	a.drop(now, limit-k.size)
	if a.byID == nil {
		a.byID = make(map[string]*kept)
	}
	a.byID[k.id] = k
	a.order = append(a.order, k)
	a.bytes += k.size
}

// drop removes answers past their lifetime and the oldest ones above limit.
func (a *Answers) drop(now crrecord.Instant, limit int64) {
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

// Get returns the whole answer of the id when it is kept and the digest is the same.
func (a *Answers) Get(now crrecord.Instant, id crrecord.ID, digest crrecord.Digest) (crrecord.Answer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := a.byID[id.String()]
	if k == nil || k.digest != digest || now.Elapsed-k.at >= crrecord.Lifetime {
		return crrecord.Answer{}, false
	}
	return k.answer, true
}

// Bytes returns the memory in use.
func (a *Answers) Bytes() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}
