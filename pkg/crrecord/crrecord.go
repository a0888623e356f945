// Package crrecord stores at-most-once records of requests. Request ids are divided among keeper groups of up to three
// keepers, the nodes that store the records of their groups. A run needs grants from a majority of the group, a
// repeated request finds the record of the first one, and a hand-over preserves the records when the members of a
// group change.
// All types are pure state machines: they have no clock, socket or goroutine, and are not safe for concurrent use.
package crrecord

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Limits of records and groups.
const (
	// Lifetime is how long a keeper stores a record, measured by its monotonic clock.
	Lifetime = 15 * time.Minute
	// MaxFuture is how far the creation time of an id may lie ahead of a keeper's clock.
	MaxFuture = 5 * time.Second
	// MaxAnswerBytes is the largest answer body that keepers store. The gate that ran the request stores larger ones.
	MaxAnswerBytes = 4 << 10
	// Groups is the fixed number of keeper groups.
	Groups = 1024
	// GroupSize is the number of members of a group if there are enough nodes.
	GroupSize = 3
	// MaxSlots is the largest number of retry slots of one id.
	MaxSlots = 64
)

// Instant is a point in time. Elapsed is monotonic, includes time in suspension and determines the age of records.
// UnixMS is the wall clock, which may jump.
type Instant struct {
	Elapsed time.Duration
	UnixMS  int64
}

// Token identifies one claim by one attempt of a request. It is random, never zero and never reused.
type Token uint64

// Digest identifies the kind and body of a request.
type Digest [16]byte

// DigestOf returns the digest of service, kind and body. Each part is hashed with its length, so that different splits
// of the same bytes have different digests.
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

// Same reports whether m and o are the same incarnation of the same node.
func (m Member) Same(o Member) bool { return m.Node == o.Node && m.Incarnation == o.Incarnation }

// Group is the membership of a keeper group in one group epoch.
type Group struct {
	Number  uint32
	Epoch   uint64
	Members []Member
	// Previous are the members of Epoch - 1, from whom the group takes over the records.
	Previous []Member
	// FenceMS, if not zero, replaces the hand-over: ids created up to this time are refused as too old.
	FenceMS int64
}

// Has reports whether m, in this incarnation, is a member.
func (g Group) Has(m Member) bool { return indexOf(g.Members, m) >= 0 }

// Majority returns the size of a majority of n members.
func Majority(n int) int { return n/2 + 1 }

func indexOf(members []Member, m Member) int {
	for i, o := range members {
		if o.Same(m) {
			return i
		}
	}
	return -1
}

// Answer is the stored answer of a run.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Omitted is set if the body is not stored here; Runner may still have it.
	Omitted bool
	// Runner is the node whose gate ran the request.
	Runner Member
}

// Status is a keeper's result for one message.
type Status uint8

// The results of a keeper.
const (
	// Granted means that the keeper reserves the id for the token.
	Granted Status = iota + 1
	// Done means that the request ran; the reply contains the answer.
	Done
	// InProgress means that another token holds the id with the same digest.
	InProgress
	// OtherDigest means that the id was used with another kind or body.
	OtherDigest
	// TooOld means that the id was created at or before the fence.
	TooOld
	// Future means that the id's creation time is more than MaxFuture ahead of the keeper's clock.
	Future
	// WrongEpoch means that the keeper does not serve the group epoch of the message.
	WrongEpoch
	// Released means that the token has been released.
	Released
	// Full means that the keeper's memory limit is reached.
	Full
	// Unconfirmed means that the keeper's configuration was last confirmed more than ConfirmWithin ago.
	Unconfirmed
	// BadMessage means that the message is malformed.
	BadMessage
	// Unreachable stands for a member that did not reply; it may still have granted the claim.
	Unreachable
)

// Reply is a keeper's reply to a claim.
type Reply struct {
	Status Status
	// Holder is the token that holds the id if the status is InProgress.
	Holder Token
	// Epoch is the newest group epoch that the keeper knows.
	Epoch  uint64
	Answer Answer
}

// Decision is the result of a claim: OK allows the run, Replayed carries the earlier answer, and other codes refuse
// the request.
type Decision struct {
	Code   crcode.Code
	Detail string
	Answer Answer
}
