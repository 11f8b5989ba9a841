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
		Req ReqID
		Job JobSpec
		Bad ReplyStatus // ReplyMalformed when the body is unusable but names an id, else 0
		Why string      // what is wrong with it
	}
	// Query asks for a job's state.
	Query struct {
		Req ReqID
		ID  JobID
	}
	// Cancel asks for a job to be cancelled.
	Cancel struct {
		Req ReqID
		ID  JobID
	}
	// Health asks whether this node can take requests.
	Health struct{ Req ReqID }
	// Checkin is a worker's report that waits for an answer.
	Checkin struct {
		Req    ReqID
		Report Report
	}
	// PeerAsk is another controller's message that waits for an answer.
	PeerAsk struct {
		Req ReqID
		Msg PeerMsg
	}
	// Load tells how busy the process is, about once a second while that matters.
	Load struct {
		Busy float64 // processor time used of what is allowed
		Lag  Time    // how late events were taken up at the worst
	}
	// Reply answers an outgoing call.
	Reply struct {
		Call CallID
		Body any
	}
)

func (Tick) isEvent()    {}
func (Submit) isEvent()  {}
func (Query) isEvent()   {}
func (Cancel) isEvent()  {}
func (Health) isEvent()  {}
func (Checkin) isEvent() {}
func (PeerAsk) isEvent() {}
func (Reply) isEvent()   {}
func (Load) isEvent()    {}

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
	NotDone
	// Unknown: may have been, or may yet be, carried out.
	Unknown
	// Missing: the thing asked for does not exist.
	Missing
	// Gone: the position asked for is too old.
	Gone
	// Throttled: over the request limit, not carried out.
	Throttled
	// Invalid: the other side calls the request malformed.
	Invalid
)

type (
	// KV is a key of the store with its value.
	KV struct {
		Key   string `cbor:"Key"`
		Value []byte `cbor:"Value"`
		Mark  Mark   `cbor:"Mark"`
	}
	// TxnOp sets a key, or drops it when Value is nil.
	TxnOp struct {
		Key   string
		Value []byte
	}
	// Cond demands a key's version.
	Cond struct {
		Key  string
		Mark Mark
	}
	// StoreTxn asks for an atomic change.
	StoreTxn struct {
		Call CallID
		When []Cond
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
		Call   CallID
		Prefix string
		Since  Epoch
		Wait   Time
	}
	// TxnReply answers a StoreTxn.
	TxnReply struct {
		Out    Outcome
		Epoch  Epoch
		Failed []string
	}
	// GetReply answers a StoreGet.
	GetReply struct {
		Out Outcome
		KV  KV
	}
	// ListReply answers a StoreList.
	ListReply struct {
		Out   Outcome
		Items []KV
		Epoch Epoch // as of the first page
		Paged bool  // more than one page: records changed between them may be missing
	}
	// WatchReply answers a StoreWatch; an item without value was dropped.
	WatchReply struct {
		Out   Outcome
		Items []KV
		Epoch Epoch
	}
	// CloudTypes asks for the machine types.
	CloudTypes struct{ Call CallID }
	// CloudRent rents under a recorded name.
	CloudRent struct {
		Call  CallID
		Name  string
		Type  string
		Zone  string
		Spot  bool
		Count int
	}
	// CloudReturn gives machines back.
	CloudReturn struct {
		Call CallID
		IDs  []MachineID
	}
	// CloudList reads the page of the machine list that follows a machine; the
	// first has no such machine.
	CloudList struct {
		Call  CallID
		Since MachineID
	}
	// TypesReply answers CloudTypes.
	TypesReply struct {
		Out   Outcome
		Types []MachineType
	}
	// RentReply answers CloudRent. Missing: no capacity.
	RentReply struct {
		Out Outcome
		IDs []MachineID
	}
	// ReturnReply answers CloudReturn.
	ReturnReply struct{ Out Outcome }
	// CloudListReply answers CloudList.
	CloudListReply struct {
		Out   Outcome
		Items []Listed
		More  bool // another page follows
	}
	// Orders sends commands straight to a worker.
	Orders struct {
		Call     CallID
		Addr     string
		Token    Token
		Session  Session
		Commands []Command
	}
	// Inspect asks a worker for its report; answered by an OrdersReply.
	Inspect struct {
		Call CallID
		Addr string
	}
	// OrdersReply answers Orders; Report is set for OK and Conflict.
	OrdersReply struct {
		Out    Outcome
		Report Report
	}
	// PeerCall sends a message to another controller.
	PeerCall struct {
		Call    CallID
		To      NodeID
		Timeout Time
		Msg     PeerMsg
	}
	// PeerReply answers a PeerCall.
	PeerReply struct {
		Out Outcome
		Msg PeerMsg
	}
	// Respond answers a request that came in.
	Respond struct {
		Req        ReqID
		Status     ReplyStatus
		RetryAfter int
		View       *JobView
		Worker     *WorkerAnswer
		Peer       *PeerMsg
		Error      string
	}
	// WorkerAnswer is the body for a worker.
	WorkerAnswer struct {
		Token    Token
		Commands []Command
		Redirect NodeID
	}
	// Log is a line for the operators.
	Log struct {
		Level LogLevel
		Text  string
		Args  []any
	}
)

func (StoreTxn) isEffect()    {}
func (StoreGet) isEffect()    {}
func (StoreList) isEffect()   {}
func (StoreWatch) isEffect()  {}
func (CloudTypes) isEffect()  {}
func (CloudRent) isEffect()   {}
func (CloudReturn) isEffect() {}
func (CloudList) isEffect()   {}
func (Orders) isEffect()      {}
func (Inspect) isEffect()     {}
func (PeerCall) isEffect()    {}
func (Respond) isEffect()     {}
func (Log) isEffect()         {}

// PeerMsg is what controllers say to one another; exactly one pointer is set.
type PeerMsg struct {
	Version int         `cbor:"Version"`
	From    NodeID      `cbor:"From"`
	Ping    *Ping       `cbor:"Ping"`
	Tell    *Tell       `cbor:"Tell"`
	Ask     *Ask        `cbor:"Ask"`
	Views   []JobView   `cbor:"Views"`
	Cancel  JobID       `cbor:"Cancel"`
	Submit  *HandedOn   `cbor:"Submit"`
	Status  ReplyStatus `cbor:"Status"`
	After   int         `cbor:"After"` // seconds until a refused submission should come again
	Why     string      `cbor:"Why"`
}

// HandedOn is a submission that its sender can't store now.
type HandedOn struct {
	ID   JobID   `cbor:"ID"`
	Spec JobSpec `cbor:"Spec"`
}

// Ping is both the call and the answer of failure detection.
type Ping struct {
	Boot      string           `cbor:"Boot"`
	Parts     []PartTerm       `cbor:"Parts"`
	StoreOK   bool             `cbor:"StoreOK"`
	StoreBad  bool             `cbor:"StoreBad"` // the last request failed; StoreOK follows if that lasts
	WorkersOK bool             `cbor:"WorkersOK"`
	Heard     map[NodeID]int64 `cbor:"Heard"` // ms since each other node last answered
	Offer     []Part           `cbor:"Offer"` // parts that their home may claim back now
	Groups    []GroupOffer     `cbor:"Groups"`
	Puts      float64          `cbor:"Puts"`  // a second that the sender could use
	Cloud     float64          `cbor:"Cloud"` // calls of the cloud a second that the sender could use
	Loads     []PartLoad       `cbor:"Loads"`
	Level     int              `cbor:"Level"` // of the sender's release; absent before pipelines
	Terms     []Term           `cbor:"Terms"` // the latest terms that the sender knows, by part
}

// PartLoad is what a part has and what its jobs could use, by priority.
type PartLoad = sharing.PartLoad

// PartTerm says that the sender holds a part.
type PartTerm struct {
	Part Part `cbor:"Part"`
	Term Term `cbor:"Term"`
}

// Tell passes on jobs that have just been stored.
type Tell struct {
	Keys []KV `cbor:"Keys"`
}

// Ask asks the owner about jobs.
type Ask struct {
	IDs []JobID `cbor:"IDs"`
}
