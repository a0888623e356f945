// Package crquota limits the requests of organisations over all nodes. The owner holds one token bucket for each
// organisation and grants tokens, which expire after a short time, to the nodes that ask for them. A node spends one token for
// each request that it sends to a backend server. All decisions are pure: the present time is an argument, and must come from
// a clock that counts the suspension of the machine.
package crquota

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits of the state and the messages.
const (
	// maxBalances bounds the organisations at the owner, maxAccounts those at a node. The least recently used is evicted.
	maxBalances = 100_000
	maxAccounts = 10_000
	// maxNodes is twice the number of nodes that the system is designed for.
	maxNodes = 40_000
	// maxNeed bounds the tokens of one demand; a node serves a few hundred requests a second.
	maxNeed = 100_000
)

// Times of the exchange between nodes and the owner.
const (
	// staticAfter is the time without an answer after which a node spends its static share.
	staticAfter = time.Second
	// silentAfter is the time after which the owner withholds the static share of a silent node. It is shorter than
	// staticAfter by three times the interval at which the owner looks.
	silentAfter = 700 * time.Millisecond
	// forgetAfter is the silence after which the owner no longer withholds the share of a node, which is taken for removed.
	forgetAfter = time.Hour
	// MinWait is the shortest time after which a refused caller should return: nodes ask for tokens at this interval.
	MinWait = 50 * time.Millisecond
	// maxWait bounds that time, since the demand may end sooner.
	maxWait = 2 * time.Second
)

// Limit is the quota of an organisation in requests per second and requests, as of a version of the configuration.
type Limit struct {
	Rate, Burst float64
	Version     uint64
}

// Constants of the token bucket.
const (
	// burstRate is the share of the burst that a quota without a rate returns per second, and burstPart the share that it lets
	// accumulate: together they allow the burst once in 5 seconds.
	burstRate = 0.1
	burstPart = 0.5
	// A balance can hold the tokens of marginTime beyond the burst, at least 1 and at most maxMargin, half of what callers may
	// exceed their quota by. The margin keeps the tokens of a quota without a burst between the messages of the coordinators.
	marginTime = 100 * time.Millisecond
	maxMargin  = 10
)

func (l Limit) valid() bool {
	return l.Rate >= 0 && l.Burst >= 0 && l.Rate+l.Burst > 0 && !math.IsInf(l.Rate+l.Burst, 0)
}

// bucket returns the rate and the burst of the token bucket, and its capacity, which exceeds the burst by a margin.
func (l Limit) bucket() (rate, burst, capacity float64) {
	rate, burst = l.Rate, l.Burst
	if rate == 0 {
		rate, burst = burst*burstRate, burst*burstPart
	}
	return rate, burst, burst + min(max(1, rate*marginTime.Seconds()), maxMargin)
}

// Demand asks for tokens of an organisation: Need are those that are expected to be spent, Spare those that the node would
// like to hold in case of a request, if the balance is large. Returned are earlier tokens that the node gives back.
type Demand struct {
	Organisation          string
	Need, Spare, Returned uint32
	Limit                 Limit
}

// Contact is what a node holds: the term and the stamp of the last answer that it received, and the number of nodes that it
// was told. The owner knows from it until when the node does not spend its static share.
type Contact struct {
	Node  string
	Term  uint64
	Stamp time.Duration
	Nodes uint32
}

// Request asks for tokens for some nodes. It is urgent if requests of clients wait for them. Sequence increases from one request
// of a sender to the next. Term and Stamp are those of the reply that granted the returned tokens, the oldest if there are
// several.
type Request struct {
	Contacts []Contact
	Demands  []Demand
	Urgent   bool
	Sequence uint64
	Term     uint64
	Stamp    time.Duration
}

// returns reports whether tokens are returned.
func (r *Request) returns() bool {
	return slices.ContainsFunc(r.Demands, func(d Demand) bool { return d.Returned > 0 })
}

// DropReturned removes the returned tokens from a request, which then are lost.
func (r *Request) DropReturned() {
	for i := range r.Demands {
		r.Demands[i].Returned = 0
	}
}

// maxSenders bounds the senders whose messages are told apart; a coordinator serves 1,430 nodes.
const maxSenders = 4000

// Sequences recognises requests that arrive twice or after a later one of the same sender. Their returned tokens must not
// be taken, since they would count twice.
type Sequences struct {
	last *simplelru.LRU[string, uint64]
}

// Fresh reports whether a sequence number is above all earlier ones of the sender.
func (s *Sequences) Fresh(sender string, sequence uint64) bool {
	if s.last == nil {
		// The size is a positive constant, which is the only condition.
		s.last, _ = simplelru.NewLRU[string, uint64](maxSenders, nil)
	}
	if last, ok := s.last.Get(sender); ok && sequence <= last {
		return false
	}
	s.last.Add(sender, sequence)
	return true
}

// Grant is the number of tokens granted to the need of a demand and to its spare. Wait is the time until tokens return when it
// is less than the need.
type Grant struct {
	Organisation   string
	Granted, Spare uint32
	Wait           time.Duration
}

// Reply answers a request.
type Reply struct {
	Grants []Grant
	Term   uint64
	Stamp  time.Duration
	Nodes  uint32
}
