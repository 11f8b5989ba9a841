package core

import "stairrelay/internal/sharing"

// Event is anything that happens to a controller.
type Event interface{ isEvent() }

// Effect is anything that a controller wants done.
type Effect interface{ isEffect() }

type (
	// Tick says that the time asked for by NextWake has come.
	Tick struct{}
	// Submit is a user's checked submission.
	Submit struct {
		Request   RequestID
		Spec      JobSpec
		Rejection ReplyStatus // ReplyMalformed when the body is unusable but names an id, else 0
		Reason    string      // what is wrong with it
	}
	// Query asks for a job's state.
	Query struct {
		Request RequestID
		ID      JobID
	}
	// Cancel asks for a job to be cancelled.
	Cancel struct {
		Request RequestID
		ID      JobID
	}
	// Health asks whether this node can take requests.
	Health struct{ Request RequestID }
	// Checkin is a worker's report that waits for an answer.
	Heartbeat struct {
		Request RequestID
		Status  HeartbeatStatus
	}
	// PeerAsk is another controller's message that waits for an answer.
	PeerRequest struct {
		Request RequestID
		Message PeerMessage
	}
	// Load tells how busy the process is, about once a second while that matters.
	ProcessLoad struct {
		CPUUsage   float64 // processor time used of what is allowed
		EventDelay Time    // how late events were taken up at the worst
	}
	// Reply answers an outgoing call.
	Reply struct {
		Call CallID
		Body any
	}
)

func (Tick) isEvent()        {}
func (Submit) isEvent()      {}
func (Query) isEvent()       {}
func (Cancel) isEvent()      {}
func (Health) isEvent()      {}
func (Heartbeat) isEvent()   {}
func (PeerRequest) isEvent() {}
func (Reply) isEvent()       {}
func (ProcessLoad) isEvent() {}

// LogLevel says how important a line of the log is.
type LogLevel string

// The levels of the log, least important first.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogError LogLevel = "error"
)

// Outcome of a call.
type Outcome int

const (
	// OK: carried out.
	OK Outcome = iota
	// Conflict: compared and refused, nothing carried out.
	Conflict
	// NotDone: certainly not carried out; may be tried again.
	NotApplied
	// Unknown: may have been, or may yet be, carried out.
	UnknownOutcome
	// Missing: the thing asked for does not exist.
	NotFound
	// Gone: the position asked for is too old.
	Compacted
	// Throttled: over the request limit, not carried out.
	Throttled
	// Invalid: the other side calls the request malformed.
	Invalid
)

type (
	// KV is a key of the store with its value.
	KV struct {
		Key         string      `cbor:"Key"`
		Value       []byte      `cbor:"Value"`
		ModRevision ModRevision `cbor:"Mark"`
	}
	// TxnOp sets a key, or drops it when Value is nil.
	TxnOp struct {
		Key   string
		Value []byte
	}
	// Cond demands a key's version.
	Compare struct {
		Key         string
		ModRevision ModRevision
	}
	// StoreTxn asks for an atomic change.
	StoreTxn struct {
		Call CallID
		If   []Compare
		Then []TxnOp
	}
	// StoreGet reads a key.
	StoreGet struct {
		Call CallID
		Key  string
	}
	// StoreList reads all keys with a prefix.
	StoreList struct {
		Call   CallID
		Prefix string
	}
	// StoreWatch waits for changes.
	StoreWatch struct {
		Call          CallID
		Prefix        string
		SinceRevision Revision
		Timeout       Time
	}
	// TxnReply answers a StoreTxn.
	TxnReply struct {
		Outcome    Outcome
		Revision   Revision
		FailedKeys []string
	}
	// GetReply answers a StoreGet.
	GetReply struct {
		Outcome Outcome
		KV      KV
	}
	// ListReply answers a StoreList.
	ListReply struct {
		Outcome   Outcome
		Items     []KV
		Revision  Revision // as of the first page
		Paginated bool     // more than one page: records changed between them may be missing
	}
	// WatchReply answers a StoreWatch; an item without value was dropped.
	WatchReply struct {
		Outcome  Outcome
		Items    []KV
		Revision Revision
	}
	// CloudTypes asks for the machine types.
	CloudMachineTypes struct{ Call CallID }
	// CloudRent rents under a recorded name.
	CloudScaleOut struct {
		Call  CallID
		Name  string
		Type  string
		Zone  string
		Spot  bool
		Count int
	}
	// CloudReturn gives machines back.
	CloudScaleIn struct {
		Call CallID
		IDs  []MachineID
	}
	// CloudList reads the page of the machine list that follows a machine; the
	// first has no such machine.
	CloudList struct {
		Call  CallID
		After MachineID
	}
	// TypesReply answers CloudTypes.
	MachineTypesReply struct {
		Outcome Outcome
		Types   []MachineType
	}
	// RentReply answers CloudRent. Missing: no capacity.
	ScaleOutReply struct {
		Outcome Outcome
		IDs     []MachineID
	}
	// ReturnReply answers CloudReturn.
	ScaleInReply struct{ Outcome Outcome }
	// CloudListReply answers CloudList.
	CloudListReply struct {
		Outcome Outcome
		Items   []ListedMachine
		More    bool // another page follows
	}
	// Orders sends commands straight to a worker.
	PushCommands struct {
		Call         CallID
		Addr         string
		FencingToken FencingToken
		Incarnation  Incarnation
		Commands     []Command
	}
	// Inspect asks a worker for its report; answered by an OrdersReply.
	QueryWorkerStatus struct {
		Call CallID
		Addr string
	}
	// OrdersReply answers Orders; Report is set for OK and Conflict.
	PushCommandsReply struct {
		Outcome Outcome
		Status  HeartbeatStatus
	}
	// PeerCall sends a message to another controller.
	PeerCall struct {
		Call    CallID
		To      NodeID
		Timeout Time
		Message PeerMessage
	}
	// PeerReply answers a PeerCall.
	PeerReply struct {
		Outcome Outcome
		Message PeerMessage
	}
	// Respond answers a request that came in.
	Respond struct {
		Request    RequestID
		Status     ReplyStatus
		RetryAfter int
		View       *JobView
		Heartbeat  *HeartbeatResponse
		Peer       *PeerMessage
		Error      string
	}
	// WorkerAnswer is the body for a worker.
	HeartbeatResponse struct {
		FencingToken FencingToken
		Commands     []Command
		RedirectTo   NodeID
	}
	// Log is a line for the operators.
	Log struct {
		Level   LogLevel
		Message string
		Args    []any
	}
)

func (StoreTxn) isEffect()          {}
func (StoreGet) isEffect()          {}
func (StoreList) isEffect()         {}
func (StoreWatch) isEffect()        {}
func (CloudMachineTypes) isEffect() {}
func (CloudScaleOut) isEffect()     {}
func (CloudScaleIn) isEffect()      {}
func (CloudList) isEffect()         {}
func (PushCommands) isEffect()      {}
func (QueryWorkerStatus) isEffect() {}
func (PeerCall) isEffect()          {}
func (Respond) isEffect()           {}
func (Log) isEffect()               {}

// PeerMsg is what controllers say to one another; exactly one pointer is set.
type PeerMessage struct {
	Version    int                `cbor:"Version"`
	From       NodeID             `cbor:"From"`
	Ping       *Ping              `cbor:"Ping"`
	Notice     *JobNotice         `cbor:"Tell"`
	Query      *JobQuery          `cbor:"Ask"`
	Views      []JobView          `cbor:"Views"`
	Cancel     JobID              `cbor:"Cancel"`
	Submission *ProxiedSubmission `cbor:"Submit"`
	Status     ReplyStatus        `cbor:"Status"`
	RetryAfter int                `cbor:"After"` // seconds until a refused submission should come again
	Reason     string             `cbor:"Why"`
}

// HandedOn is a submission that its sender can't store now.
type ProxiedSubmission struct {
	ID   JobID   `cbor:"ID"`
	Spec JobSpec `cbor:"Spec"`
}

// Ping is both the call and the answer of failure detection.
type Ping struct {
	InstanceID         string           `cbor:"Boot"`
	Shards             []ShardTerm      `cbor:"Parts"`
	StoreReachable     bool             `cbor:"StoreOK"`
	StoreFailing       bool             `cbor:"StoreBad"` // the last request failed; StoreOK follows if that lasts
	WorkersReachable   bool             `cbor:"WorkersOK"`
	MillisSinceContact map[NodeID]int64 `cbor:"Heard"` // ms since each other node last answered
	FailbackOffers     []ShardID        `cbor:"Offer"` // parts that their home may claim back now
	TransferOffers     []TransferOffer  `cbor:"Groups"`
	WriteDemand        float64          `cbor:"Puts"`  // a second that the sender could use
	CloudDemand        float64          `cbor:"Cloud"` // calls of the cloud a second that the sender could use
	ShardLoads         []ShardLoad      `cbor:"Loads"`
	FeatureLevel       int              `cbor:"Level"` // of the sender's release; absent before pipelines
	KnownTerms         []Term           `cbor:"Terms"` // the latest terms that the sender knows, by part
}

// PartLoad is what a part has and what its jobs could use, by priority.
type ShardLoad = sharing.ShardLoad

// PartTerm says that the sender holds a part.
type ShardTerm struct {
	Shard ShardID `cbor:"Part"`
	Term  Term    `cbor:"Term"`
}

// Tell passes on jobs that have just been stored.
type JobNotice struct {
	Keys []KV `cbor:"Keys"`
}

// Ask asks the owner about jobs.
type JobQuery struct {
	IDs []JobID `cbor:"IDs"`
}
