package messages

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
)

// PeerCall sends a message to another controller. A PeerReply answers it.
type PeerCall struct {
	Call    CallID
	To      cluster.NodeID
	Timeout cluster.Time
	Message PeerMessage
}

// PeerReply answers a PeerCall.
type PeerReply struct {
	Outcome Outcome
	Message PeerMessage
}

// PeerMessage is what controllers send to each other. A call sets one of Ping,
// Notice, Query, Cancel and Submission; an answer sets Ping, Views, or Status
// with RetryAfter and Reason.
//
// Controllers of two releases work together during an upgrade, so the encoded
// names of the fields, here and in the types below, must stay as they are.
type PeerMessage struct {
	Version    int                `cbor:"Version"`
	From       cluster.NodeID     `cbor:"From"`
	Ping       *Ping              `cbor:"Ping"`
	Notice     *JobNotice         `cbor:"Tell"`
	Query      *JobQuery          `cbor:"Ask"`
	Views      []cluster.JobView  `cbor:"Views"` // answers Query
	Cancel     cluster.JobID      `cbor:"Cancel"`
	Submission *ProxiedSubmission `cbor:"Submit"`
	Status     ReplyStatus        `cbor:"Status"`
	RetryAfter int                `cbor:"After"` // seconds after which a refused submission may be sent again
	Reason     string             `cbor:"Why"`   // why a submission was refused
}

// ProxiedSubmission is a submission that its sender cannot store now and passes
// on to another controller.
type ProxiedSubmission struct {
	ID   cluster.JobID   `cbor:"ID"`
	Spec cluster.JobSpec `cbor:"Spec"`
}

// Ping is both the call and the answer of failure detection.
type Ping struct {
	InstanceID string      `cbor:"Boot"`  // of the sender's process
	Shards     []ShardTerm `cbor:"Parts"` // the shards that the sender owns

	StoreReachable   bool `cbor:"StoreOK"`
	StoreFailing     bool `cbor:"StoreBad"` // the last request failed; StoreReachable becomes false if that lasts
	WorkersReachable bool `cbor:"WorkersOK"`

	MillisSinceContact map[cluster.NodeID]int64 `cbor:"Heard"`  // milliseconds since each other node last answered
	FailbackOffers     []cluster.ShardID        `cbor:"Offer"`  // shards that their preferred owner may acquire again now
	TransferOffers     []TransferOffer          `cbor:"Groups"` // idle machines that other shards may take

	WriteDemand float64               `cbor:"Puts"`  // writes a second that the sender could use
	CloudDemand float64               `cbor:"Cloud"` // cloud calls a second that the sender could use
	ShardLoads  []fairshare.ShardLoad `cbor:"Loads"`

	FeatureLevel int            `cbor:"Level"` // of the sender's release; releases without job dependencies send none
	KnownTerms   []cluster.Term `cbor:"Terms"` // the latest term that the sender knows of each shard
}

// ShardTerm says that the sender owns a shard, and under which term.
type ShardTerm struct {
	Shard cluster.ShardID `cbor:"Part"`
	Term  cluster.Term    `cbor:"Term"`
}

// JobNotice passes on the records of jobs that have just been stored.
type JobNotice struct {
	Items []KV `cbor:"Keys"`
}

// JobQuery asks the owner of jobs for their state.
type JobQuery struct {
	IDs []cluster.JobID `cbor:"IDs"`
}

// TransferOffer offers a machine group with idle machines to another shard,
// which takes it by a compare-and-swap on the group's record.
type TransferOffer struct {
	Key         string              `cbor:"Key"`
	ModRevision cluster.ModRevision `cbor:"Mark"`
	Recipient   cluster.ShardID     `cbor:"To"`
	Kinds       []MachineKindCount  `cbor:"Kinds"`
}

// MachineKindCount counts the machines of one type and zone, on-demand or spot.
type MachineKindCount struct {
	Type  string `cbor:"Type"`
	Zone  string `cbor:"Zone"`
	Spot  bool   `cbor:"Spot"`
	Count int    `cbor:"N"`
}
