// Package crlog implements a replicated consensus log, in the manner of Raft, as a deterministic state machine: it elects
// a leader, replicates entries, commits them by majority and changes its members one at a time. It has no clock, socket
// or goroutine: the caller passes in the time and received messages, stores what Ready returns, sends its messages,
// applies its entries and then calls Advance.
package crlog

import (
	"math/rand/v2"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Kind is the type of a log entry.
type Kind uint8

// The kinds of entries.
const (
	// Data is an entry proposed by the user of the log.
	Data Kind = iota
	// Noop is the empty first entry of each term; committing it also commits the entries of earlier terms.
	Noop
	// MemberChange holds an encoded member list.
	MemberChange
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  Kind
	Data  []byte
}

// HardState is the state that a member stores durably before it sends a vote or an acknowledgement. Vote is the candidate
// that the member voted for in Term or, once it is known, the leader of Term.
type HardState struct {
	Term uint64
	Vote uint64
}

// Snapshot is the state of the user after the entry at Index; it replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Members
	Data    []byte
}

// State is the stored state that a member starts from.
type State struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Role is the role of a member in its term.
type Role uint8

// The roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role that state dumps show.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// Config holds the settings of a member; zero durations and sizes select the defaults.
type Config struct {
	// ID is the member id. A member with new, empty storage must have a new id.
	ID uint64
	// Address is the address that other members send messages to.
	Address string
	// Observer makes the node a non-voting reader that is not in the member list.
	Observer bool
	// Seeds are the addresses of members that an observer registers with.
	Seeds []string
	// Heartbeat is the interval of heartbeat rounds of a leader; 100 ms by default.
	Heartbeat time.Duration
	// Lease is how long a follower rejects vote requests after a message of a leader; 1 s by default.
	Lease time.Duration
	// Jitter bounds the random time that is added to Lease to get the election timeout; 300 ms by default.
	Jitter time.Duration
	// MessageBytes bounds the payload of a message and the data of an entry; 512 KiB by default.
	MessageBytes int
	// SnapshotEntries is the number of applied entries after which a snapshot is due; 10,000 by default.
	SnapshotEntries int
	// SnapshotBytes is the size of the entries in memory at which a snapshot is due; 16 MiB by default.
	SnapshotBytes int
	// Rand is the source of the random election timeouts.
	Rand *rand.Rand
}

// Bounds of the memory that a member uses.
const (
	maxObservers     = 64
	maxInflight      = 4096
	maxPendingReads  = 4096
	maxPendingRounds = 256
	maxSnapshotBytes = 64 << 20
	// maxUncommittedBytes bounds the size of the entries that a leader has accepted and not yet committed.
	maxUncommittedBytes = 16 << 20
)

// maxReadRounds bounds the additional heartbeat rounds that reads may cause within one heartbeat interval; reads that
// wait at the same time share a round.
const maxReadRounds = 10

// leasePercent is the percentage of Lease for which a leader holds its lease. The clocks of leader and followers may run
// 1% fast or slow, so it must be below 100 * 0.99 / 1.01 = 98.02.
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

// Ready is the work that the caller has to do, in this order: store Snapshot, Hard and Entries durably, send Messages,
// apply Snapshot and Committed, answer Reads, call Advance.
type Ready struct {
	// Hard is set when the term or the vote changed.
	Hard *HardState
	// Snapshot is set when a snapshot of the leader replaces the log; Entries then hold the log that follows it.
	Snapshot *Snapshot
	// Entries are to be stored; they replace all stored entries from the index of the first one on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []Read
}

// Empty reports whether there is no work.
func (r *Ready) Empty() bool {
	return r.Hard == nil && r.Snapshot == nil && len(r.Entries)+len(r.Messages)+len(r.Committed)+len(r.Reads) == 0
}

// Read is the result of the read with the given id: it is allowed once the entry at Index is applied, or rejected when OK
// is false.
type Read struct {
	ID    uint64
	Index uint64
	OK    bool
}

// Node is one member, or one observer, of the log.
type Node struct {
	config          Config
	hardState       HardState
	storedHardState HardState
	role            Role
	leaderID        uint64
	leaderAddress   string
	log             memoryLog
	memberLists     []memberListAt
	commitIndex     uint64
	applied         uint64

	// leaderContact is the time of the last message of a leader; other candidates get no vote within Lease after it.
	leaderContact    time.Time
	electionDeadline time.Time
	// votes are those that this member got in its term, preVotes those that it got in its last election round for the
	// next term.
	votes, preVotes map[uint64]bool
	// forcedElection marks a candidacy that the resigning leader requested; voters then ignore the lease they granted.
	forcedElection bool

	leaderState       *leaderState
	incomingSnapshot  *incomingSnapshot
	installedSnapshot *Snapshot
	outbox            []Message
	readResults       []Read
	lastRegistration  time.Time
}

// New returns a member that starts from stored state. It assumes that the leader that it voted for or followed sent its
// last message at now, since it can't know how long its restart took. A member that voted for itself, or is the only
// voter, stands for election at once.
func New(now time.Time, cfg Config, st State) (*Node, error) {
	cfg.setDefaults()
	if cfg.ID == 0 || cfg.Rand == nil {
		return nil, crcode.New(crcode.BadValue, "a member needs an id and a random source")
	}
	n := &Node{config: cfg, hardState: st.Hard, storedHardState: st.Hard, leaderContact: now}
	n.log.reset(st.Snapshot)
	n.commitIndex, n.applied = st.Snapshot.Index, st.Snapshot.Index
	n.memberLists = []memberListAt{{st.Snapshot.Index, st.Snapshot.Members}}
	for _, e := range st.Entries {
		if e.Index != n.log.last()+1 {
			return nil, crcode.New(crcode.StoreDamaged, "entry %d follows entry %d", e.Index, n.log.last())
		}
		if err := n.appendEntry(e); err != nil {
			return nil, err
		}
	}
	n.log.stored = n.log.last()
	n.resetElectionDeadline(now)
	if v := n.Members().Voters(); len(v) == 1 && v[0] == cfg.ID || st.Hard.Vote == cfg.ID {
		n.electionDeadline = now
	}
	return n, nil
}

// appendEntry appends an entry to the log in memory; a member list in the entry takes effect at once.
func (n *Node) appendEntry(e Entry) error {
	if e.Kind == MemberChange {
		m, err := decodeMembers(e.Data)
		if err != nil {
			return err
		}
		n.memberLists = append(n.memberLists, memberListAt{e.Index, m})
	}
	n.log.append(e)
	return nil
}

// Ready returns the work that the caller has to do; call Advance when it is done.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.replicateToAll()
	}
	r := Ready{Snapshot: n.installedSnapshot, Messages: n.outbox, Reads: n.readResults}
	if n.hardState != n.storedHardState {
		h := n.hardState
		r.Hard = &h
	}
	r.Entries = n.log.slice(n.log.stored+1, n.log.last(), 0)
	// Only stored entries are applied, so that after a restart the log is never shorter than the applied part.
	r.Committed = n.log.slice(n.applied+1, min(n.commitIndex, n.log.stored), n.config.MessageBytes)
	n.outbox, n.readResults = nil, nil
	return r
}

// State returns the whole state of the member that is to be stored, whether or not it is.
func (n *Node) State() State {
	s := n.log.snapshot
	return State{Hard: n.hardState, Snapshot: s, Entries: n.log.slice(s.Index+1, n.log.last(), 0)}
}

// Advance records that the caller has done the work of r.
func (n *Node) Advance(now time.Time, r Ready) {
	if r.Hard != nil {
		n.storedHardState = *r.Hard
	}
	if r.Snapshot != nil && r.Snapshot == n.installedSnapshot {
		n.installedSnapshot = nil
	}
	if k := len(r.Entries); k > 0 && n.log.term(r.Entries[k-1].Index) == r.Entries[k-1].Term {
		n.log.stored = max(n.log.stored, r.Entries[k-1].Index)
	}
	if k := len(r.Committed); k > 0 {
		n.applied = max(n.applied, r.Committed[k-1].Index)
	}
	if n.role == Leader {
		n.advanceCommit(now)
	}
}

// Tick runs the timers that are due; call it every few milliseconds.
func (n *Node) Tick(now time.Time) {
	if n.config.Observer {
		n.tickObserver(now)
		return
	}
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if !now.Before(n.electionDeadline) && n.Members().isVoter(n.config.ID) {
		n.campaign(now, PreCandidate)
	}
}

// Members returns the latest member list in the log, committed or not.
func (n *Node) Members() Members { return n.memberLists[len(n.memberLists)-1].members }

func (n *Node) resetElectionDeadline(now time.Time) {
	n.electionDeadline = now.Add(n.config.Lease + n.randomDuration(n.config.Jitter))
}

func (n *Node) randomDuration(d time.Duration) time.Duration {
	return time.Duration(n.config.Rand.Int64N(int64(d) + 1))
}

func (n *Node) send(m Message) {
	m.From, m.FromAddress = n.config.ID, n.config.Address
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	if m.Address == "" {
		m.Address = n.addressOf(m.To)
	}
	n.outbox = append(n.outbox, m)
}

func (n *Node) addressOf(id uint64) string {
	if m := n.Members().find(id); m != nil {
		return m.Address
	}
	if n.leaderState != nil {
		if p := n.leaderState.peers[id]; p != nil {
			return p.address
		}
	}
	if id == n.leaderID {
		return n.leaderAddress
	}
	return ""
}
