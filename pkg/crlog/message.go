package crlog

// MessageKind is the type of a message.
type MessageKind uint8

// The kinds of messages.
const (
	PreVoteRequest MessageKind = iota + 1
	PreVoteResponse
	VoteRequest
	VoteResponse
	AppendRequest
	AppendResponse
	SnapshotChunk
	SnapshotResponse
	TimeoutNow
	ReadRequest
	ReadResponse
	ObserveRequest
	ObserveResponse
)

// Message is a message between two members, or a member and an observer. Its size is bounded by Config.MessageBytes plus
// a small header.
type Message struct {
	Kind        MessageKind
	From, To    uint64
	FromAddress string
	// Address is the address of the receiver.
	Address string
	Term    uint64
	// Index and LogTerm are the index and term of an entry: the one before Entries, the last one of a candidate or the
	// last one that a snapshot covers. In a response, Index is the last index that matches the leader's log or that a
	// read needs.
	Index, LogTerm uint64
	Commit         uint64
	Entries        []Entry
	// Reject marks a response that rejects the request; Hint is then the index from which the leader should try again.
	Reject bool
	Hint   uint64
	// Force marks a vote request on behalf of a leader that resigned; voters ignore the lease they granted.
	Force bool
	// Round is the number of the heartbeat round within the term; ID identifies a read.
	Round, ID uint64
	// Offset and Data are a chunk of a snapshot, Size is the size of the snapshot's data, Members its member list.
	Offset, Size uint64
	Data         []byte
	Members      Members
	// Leader and LeaderAddress tell an observer where to register.
	Leader        uint64
	LeaderAddress string
}
