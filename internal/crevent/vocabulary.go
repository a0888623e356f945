package crevent

// Event is the name of the event that a log line reports.
type Event string

// Events in the life of a process.
const (
	Started        Event = "started"
	Stopping       Event = "stopping"
	Stopped        Event = "stopped"
	Reloaded       Event = "reloaded"
	DependencyLost Event = "dependency_lost"
	DependencyBack Event = "dependency_back"
	LinesDropped   Event = "lines_dropped"
	Suspended      Event = "suspended"
	Message        Event = "message"
)

// Events in the processing of a request at a node.
const (
	Rejected  Event = "rejected"
	SentAgain Event = "sent_again"
	Cancelled Event = "cancelled"
	Answered  Event = "answered"
	Cut       Event = "cut"
	Ran       Event = "ran"
)

// Events that change the state that a process holds about servers, configurations, coordinators, pressure and costs.
const (
	ServerJoined     Event = "server_joined"
	ServerDraining   Event = "server_draining"
	ServerGone       Event = "server_gone"
	ServerCrashed    Event = "server_crashed"
	RequestConvicted Event = "request_convicted"
	ServerEjected    Event = "server_ejected"
	ServerReturned   Event = "server_returned"
	ServersChanged   Event = "servers_changed"
	ConfigLearned    Event = "config_learned"
	ConfigAccepted   Event = "config_accepted"
	ConfigRefused    Event = "config_refused"
	ConfigUnclear    Event = "config_unclear"
	ConfigRead       Event = "config_read"
	LeaderChanged    Event = "leader_changed"
	MemberChange     Event = "member_change"
	PressureChanged  Event = "pressure_changed"
	CostLearned      Event = "cost_learned"
	KeysRefused      Event = "keys_refused"
	LeaseLost        Event = "lease_lost"
	LeaseHeld        Event = "lease_held"
	QuotaReached     Event = "quota_reached"
	QuotaFree        Event = "quota_free"
	ClientBounded    Event = "client_bounded"
)

// Keys of the values of a log line.
const (
	KeyTime        = "t"
	KeyEvent       = "event"
	KeyProcess     = "process"
	KeyID          = "id"
	KeyRoute       = "route"
	KeyService     = "service"
	KeyServer      = "server"
	KeyPeer        = "peer"
	KeyReason      = "reason"
	KeyCode        = "code"
	KeyStatus      = "status"
	KeyOutcome     = "outcome"
	KeyVersion     = "version"
	KeyBase        = "base"
	KeyAge         = "age"
	KeyLeft        = "left"
	KeyWait        = "wait"
	KeyTook        = "took"
	KeyTry         = "try"
	KeyQueue       = "queue"
	KeyRunning     = "running"
	KeySlots       = "slots"
	KeyPriority    = "priority"
	KeyShare       = "share"
	KeyPressure    = "pressure"
	KeyRefused     = "refused"
	KeyCaller      = "caller"
	KeyFingerprint = "fingerprint"
	KeyCount       = "count"
	KeyOf          = "of"
	KeyTerm        = "term"
	KeyIndex       = "index"
	KeyMember      = "member"
	KeyAction      = "action"
	KeyError       = "err"
	KeyAddress     = "address"
	KeyDetail      = "detail"
	KeyCost        = "cost_ms"
	// KeyOrganisation is the name of an organisation, never one of its keys.
	KeyOrganisation = "organisation"
	KeyRate         = "rate"
)
