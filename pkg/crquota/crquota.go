// Package crquota limits the requests of organisations over all nodes. The owner holds one token bucket for each
// organisation and grants tokens, which expire after a short time, to the nodes that ask for them. A node spends one token for
// each request that it sends to a backend server. All decisions are pure: the present time is an argument, and must come from
// a clock that counts the suspension of the machine.
package crquota

import (
	"math"
	"time"
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
	// unlimitedPart is the share of the burst that a quota without a rate returns per second, and idlePart the share that it
	// lets accumulate: together they allow the burst once in 5 seconds.
	unlimitedPart = 0.1
	idlePart      = 0.5
	// minBurstTime is the part of a second of the rate that a balance can hold at least, so that no tokens are lost between
	// the messages of the coordinators, but no more than maxMinBurst tokens, half of what callers may exceed their quota by.
	minBurstTime = 0.1
	maxMinBurst  = 10
)

func (l Limit) valid() bool {
	return l.Rate >= 0 && l.Burst >= 0 && l.Rate+l.Burst > 0 && !math.IsInf(l.Rate+l.Burst, 0)
}

// bucket returns the rate and the capacity of the token bucket.
func (l Limit) bucket() (rate, capacity float64) {
	if l.Rate == 0 {
		return l.Burst * unlimitedPart, max(1, l.Burst*idlePart)
	}
	return l.Rate, max(l.Burst, min(max(1, l.Rate*minBurstTime), maxMinBurst))
}

// Demand asks for tokens of an organisation.
type Demand struct {
	Organisation string
	Need         uint32
	Limit        Limit
}

// Contact is what a node holds: the term and the stamp of the last answer that it received, and the number of nodes that it
// was told. The owner knows from it until when the node does not spend its static share.
type Contact struct {
	Node  string
	Term  uint64
	Stamp time.Duration
	Nodes uint32
}

// Request asks for tokens for some nodes.
type Request struct {
	Contacts []Contact
	Demands  []Demand
}

// Grant is the number of tokens granted to a demand. Wait is the time until tokens return when it is less than the need.
// Plenty is set while the balance is nearly full, so that tokens that are not spent cost nothing.
type Grant struct {
	Organisation string
	Granted      uint32
	Wait         time.Duration
	Plenty       bool
}

// Reply answers a request.
type Reply struct {
	Grants []Grant
	Term   uint64
	Stamp  time.Duration
	Nodes  uint32
}
