// Package crlog is a replicated log as a pure state machine: it elects a leader, replicates entries, commits them by
// majority and changes its members one at a time. It has no clock, socket or goroutine: the caller passes in the time
// and messages, persists what Ready returns, sends its messages, applies its entries and then calls Advance.
package crlog

import (
	"math/rand/v2"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Kind tells what an entry holds.
type Kind uint8

// The kinds of entries.
const (
	// Data is a change proposed by the user of the log.
	Data Kind = iota
	// Noop is the first entry of each term; it lets the leader commit entries of earlier terms.
	Noop
	// Change holds an encoded member list.
	Change
)

// Entry is one position of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  Kind
	Data  []byte
}

// HardState is what a member must have stored before it sends a vote or an acknowledgement. Vote is the candidate that
// got the member's vote in the term or, once known, its leader.
type HardState struct {
	Term uint64
	Vote uint64
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Members
	Data    []byte
}

// State is what a member has in storage when it starts.
type State struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Role is the part that a member plays in its term.
type Role uint8

// The roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role as it stands in dumps.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// Config holds the settings of a member; zero durations and sizes take the defaults.
type Config struct {
	// ID is the member id; it must be new whenever the member's storage is new.
	ID uint64
	// Address is where other members send messages to.
	Address string
	// Observer makes the node a non-voting reader that is not in the member list.
	Observer bool
	// Seeds are addresses of members; an observer registers there.
	Seeds []string
	// Heartbeat is the interval of messages to idle followers; 100 ms by default.
	Heartbeat time.Duration
	// Lease is how long a follower refuses votes after it heard from a leader; 1 s by default.
	Lease time.Duration
	// Jitter bounds the random part added to Lease before a follower stands for election; 300 ms by default.
	Jitter time.Duration
	// MessageBytes bounds the payload of one message; 512 KiB by default. An entry may be as large as this.
	MessageBytes int
	// SnapshotEntries is how many applied entries are kept before a snapshot is due; 10,000 by default.
	SnapshotEntries int
	// SnapshotBytes is the entry size in memory before a snapshot is due; 16 MiB by default.
	SnapshotBytes int
	// Rand draws the election jitter.
	Rand *rand.Rand
}

// Bounds that keep the state of a member finite.
const (
	maxObservers     = 64
	maxInflight      = 4096
	maxReads         = 4096
	maxRounds        = 256
	maxSnapshotBytes = 64 << 20
	// maxUncommitted bounds the bytes of entries that a leader accepts before they commit.
	maxUncommitted = 16 << 20
)

// readBeats is how many heartbeat rounds reads may cause in the time between two regular ones; those that wait share one.
const readBeats = 10

// leasePercent is the part of Lease that a leader counts on. Clocks may run 1% fast or slow, so the leader's part must
// be below 100 * 0.99 / 1.01 = 98.02.
const leasePercent = 98

func (c *Config) setDefaults() {
	setDefault(&c.Heartbeat, 100*time.Millisecond)
	setDefault(&c.Lease, time.Second)
	setDefault(&c.Jitter, 300*time.Millisecond)
	setDefault(&c.MessageBytes, 512<<10)
	setDefault(&c.SnapshotEntries, 10_000)
	setDefault(&c.SnapshotBytes, 16<<20)
}

func setDefault[T ~int | ~int64](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// Ready is the work that the caller must do, in this order: store Snapshot, Hard and Entries durably, send Messages,
// apply Snapshot and Committed, answer Reads; then call Advance with it.
type Ready struct {
	// Hard is set when term or vote changed.
	Hard *HardState
	// Snapshot is set when a snapshot from the leader replaces the log; Entries then hold the log that follows it.
	Snapshot *Snapshot
	// Entries are to be stored; they replace stored entries from the first one's index on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []Read
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.Hard == nil && r.Snapshot == nil && len(r.Entries)+len(r.Messages)+len(r.Committed)+len(r.Reads) == 0
}

// Read allows the read with the given id once the entry at Index is applied; OK is false when it was refused.
type Read struct {
	ID    uint64
	Index uint64
	OK    bool
}

// Node is one member of the log.
type Node struct {
	cfg        Config
	hard       HardState
	storedHard HardState
	role       Role
	leader     uint64
	leaderAddr string
	log        memLog
	configs    []indexedMembers
	commit     uint64
	handed     uint64

	// heard is when a message of a leader arrived last; within Lease after it others get no vote.
	heard    time.Time
	deadline time.Time
	// votes are those for this member in the present term, preVotes those of the present round before the next one.
	votes, preVotes map[uint64]bool
	// forced marks a candidacy that a resigning leader asked for; voters then ignore their lease.
	forced bool

	lead        *leadership
	incoming    *incoming
	installed   *Snapshot
	out         []Message
	reads       []Read
	lastObserve time.Time
}

// New returns a member that starts from stored state. It counts as having heard at now from the leader that it voted for
// or followed before a restart, since it can't know how long ago that was; if it was that leader it stands again at once.
func New(now time.Time, cfg Config, st State) (*Node, error) {
	cfg.setDefaults()
	if cfg.ID == 0 || cfg.Rand == nil {
		return nil, crcode.New(crcode.BadValue, "a member needs an id and a random source")
	}
	n := &Node{cfg: cfg, hard: st.Hard, storedHard: st.Hard, heard: now}
	n.log.reset(st.Snapshot)
	n.commit, n.handed = st.Snapshot.Index, st.Snapshot.Index
	n.configs = []indexedMembers{{st.Snapshot.Index, st.Snapshot.Members}}
	for _, e := range st.Entries {
		if e.Index != n.log.last()+1 {
			return nil, crcode.New(crcode.StoreDamaged, "entry %d follows entry %d", e.Index, n.log.last())
		}
		if err := n.push(e); err != nil {
			return nil, err
		}
	}
	n.log.stored = n.log.last()
	n.resetDeadline(now)
	if v := n.Members().Voters(); len(v) == 1 && v[0] == cfg.ID || st.Hard.Vote == cfg.ID {
		n.deadline = now
	}
	return n, nil
}

// push appends an entry to the log in memory and takes over the member list it may hold.
func (n *Node) push(e Entry) error {
	if e.Kind == Change {
		m, err := decodeMembers(e.Data)
		if err != nil {
			return err
		}
		n.configs = append(n.configs, indexedMembers{e.Index, m})
	}
	n.log.append(e)
	return nil
}

// Ready returns the work that is due; call Advance when it is done.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.flush()
	}
	r := Ready{Snapshot: n.installed, Messages: n.out, Reads: n.reads}
	if n.hard != n.storedHard {
		h := n.hard
		r.Hard = &h
	}
	r.Entries = n.log.slice(n.log.stored+1, n.log.last(), 0)
	// Only stored entries are applied, so that a restart never finds a shorter log than the applied one.
	r.Committed = n.log.slice(n.handed+1, min(n.commit, n.log.stored), n.cfg.MessageBytes)
	n.out, n.reads = nil, nil
	return r
}

// Advance tells the node that the work of r is done.
func (n *Node) Advance(now time.Time, r Ready) {
	if r.Hard != nil {
		n.storedHard = *r.Hard
	}
	if r.Snapshot != nil && r.Snapshot == n.installed {
		n.installed = nil
	}
	if k := len(r.Entries); k > 0 && n.log.term(r.Entries[k-1].Index) == r.Entries[k-1].Term {
		n.log.stored = max(n.log.stored, r.Entries[k-1].Index)
	}
	if k := len(r.Committed); k > 0 {
		n.handed = max(n.handed, r.Committed[k-1].Index)
	}
	if n.role == Leader {
		n.advanceCommit(now)
	}
}

// Tick lets timers run; call it every few milliseconds.
func (n *Node) Tick(now time.Time) {
	if n.cfg.Observer {
		n.tickObserver(now)
		return
	}
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if !now.Before(n.deadline) && n.Members().isVoter(n.cfg.ID) {
		n.campaign(now, PreCandidate)
	}
}

// Members returns the latest member list in the log, committed or not.
func (n *Node) Members() Members { return n.configs[len(n.configs)-1].members }

func (n *Node) resetDeadline(now time.Time) {
	n.deadline = now.Add(n.cfg.Lease + n.jitter(n.cfg.Jitter))
}

func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.cfg.Rand.Int64N(int64(d) + 1))
}

func (n *Node) send(m Message) {
	m.From, m.FromAddress = n.cfg.ID, n.cfg.Address
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	if m.Address == "" {
		m.Address = n.addressOf(m.To)
	}
	n.out = append(n.out, m)
}

func (n *Node) addressOf(id uint64) string {
	if m := n.Members().find(id); m != nil {
		return m.Address
	}
	if n.lead != nil {
		if p := n.lead.peers[id]; p != nil {
			return p.address
		}
	}
	if id == n.leader {
		return n.leaderAddr
	}
	return ""
}
