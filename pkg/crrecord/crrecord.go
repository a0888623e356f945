// Package crrecord keeps at-most-once records of requests at groups of up to three keepers: a run needs grants from a
// majority, a resend finds the record, and a group changes its members without forgetting a run.
// Everything here is a pure state machine: it has no clock, socket or goroutine, and is not safe for concurrent use.
package crrecord

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Bounds of records.
const (
	// Lifetime is how long a keeper holds a record, by its monotonic clock.
	Lifetime = 15 * time.Minute
	// MaxFuture is how far the creation time of an id may lie ahead of a keeper's clock.
	MaxFuture = 5 * time.Second
	// MaxAnswerBytes bounds an answer that keepers store; the gate that ran the request keeps larger ones.
	MaxAnswerBytes = 4 << 10
	// Groups is the fixed number of keeper groups.
	Groups = 1024
	// GroupSize is the number of members of a group when there are enough nodes.
	GroupSize = 3
	// MaxSlots bounds the retries that the keepers of one id may give.
	MaxSlots = 64
)

// Instant is the present time: Elapsed is monotonic, counts suspension and orders lifetimes, UnixMS is the wall clock, which may jump.
type Instant struct {
	Elapsed time.Duration
	UnixMS  int64
}

// Token names one claim of one send; it is random, not zero and never used twice.
type Token uint64

// Digest identifies the kind and body of a request.
type Digest [16]byte

// DigestOf returns the digest of service, kind and body; the lengths keep different splits apart.
func DigestOf(service, kind string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(service), []byte(kind), body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// Member is one keeper: a node in one incarnation.
type Member struct {
	Node        string
	Incarnation string
	Address     string
	Domain      string
}

// Same reports whether both are the same incarnation of the same node.
func (m Member) Same(o Member) bool { return m.Node == o.Node && m.Incarnation == o.Incarnation }

// Group is the membership of a keeper group in one group epoch.
type Group struct {
	Number  uint32
	Epoch   uint64
	Members []Member
	// Previous are the members of Epoch - 1, whose records the group takes over.
	Previous []Member
	// FenceMS, when not zero, replaces the hand-over: ids created up to then are refused as too old.
	FenceMS int64
}

// Has reports whether m is a member in its present incarnation.
func (g Group) Has(m Member) bool { return indexOf(g.Members, m) >= 0 }

// Majority returns how many of n members decide.
func Majority(n int) int { return n/2 + 1 }

func indexOf(members []Member, m Member) int {
	for i, o := range members {
		if o.Same(m) {
			return i
		}
	}
	return -1
}

// Answer is the stored outcome of a run.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Omitted is set when the body is not stored here; Runner may still have it.
	Omitted bool
	// Runner is the gate that ran the request.
	Runner Member
}

// Status is a keeper's verdict on one message.
type Status uint8

// The verdicts of a keeper.
const (
	// Granted means that the keeper holds the id for the token.
	Granted Status = iota + 1
	// Done means that the request ran; the reply has the answer.
	Done
	// InProgress means that another token holds the id for the same digest.
	InProgress
	// OtherDigest means that the id was used for another kind or body.
	OtherDigest
	// TooOld means that the id is at or below the fence.
	TooOld
	// Future means that the id is too far ahead of the keeper's clock.
	Future
	// WrongEpoch means that the keeper does not serve the message's group epoch.
	WrongEpoch
	// Released means that the token was released before.
	Released
	// Full means that the keeper's memory bound is reached.
	Full
	// Unconfirmed means that the keeper has not confirmed its configuration for too long.
	Unconfirmed
	// BadMessage means that the message is malformed.
	BadMessage
	// Unreachable stands for a member that cannot reply; its grant may still have been given.
	Unreachable
)

// Reply answers a claim.
type Reply struct {
	Status Status
	// Holder is the token that holds the id when the status is InProgress.
	Holder Token
	// Epoch is the group epoch that the keeper knows of.
	Epoch  uint64
	Answer Answer
}

// Decision is the result of a claim: OK allows the run, Replayed carries the earlier answer, other codes refuse.
type Decision struct {
	Code   crcode.Code
	Detail string
	Answer Answer
}
