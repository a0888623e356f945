package crlog

// MessageKind names the purpose of a message.
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

// Message travels between two members; its size is bounded by Config.MessageBytes plus a small header.
type Message struct {
	Kind        MessageKind
	From, To    uint64
	FromAddress string
	// Address is where the message goes to.
	Address string
	Term    uint64
	// Index and LogTerm name a log position: the entry before Entries, a candidate's last entry or a snapshot's end.
	Index, LogTerm uint64
	Commit         uint64
	Entries        []Entry
	// Reject and Hint answer a request that was refused; Hint is the index to try next.
	Reject bool
	Hint   uint64
	// Force marks a vote request after the leader resigned.
	Force bool
	// Round counts the heartbeats of a term; ID names a read.
	Round, ID uint64
	// Offset, Size, Data and Members are a part of a snapshot.
	Offset, Size uint64
	Data         []byte
	Members      Members
	// Leader and LeaderAddress tell an observer whom to ask.
	Leader        uint64
	LeaderAddress string
}
