package messages

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
)

// PeerCall sends a message to another controller. It is answered by a PeerReply.
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

// PeerMessage is a message between controllers, either a request or the response to one.
// A request sets exactly one of Ping, Notice, Query, Cancel and Submission. The response
// to a Ping sets Ping, that to a Query sets Views, and that to any other request sets
// Status. The response to a Cancel or a Submission may also set Views, to the view of the
// job concerned.
//
// Controllers of different releases exchange messages during an upgrade, so the encoded
// field names of this type and of the types that it contains must not change.
type PeerMessage struct {
	Version    int                `cbor:"Version"`
	From       cluster.NodeID     `cbor:"From"`
	Ping       *Ping              `cbor:"Ping"`
	Notice     *JobNotice         `cbor:"Tell"`
	Query      *JobQuery          `cbor:"Ask"`
	Views      []cluster.JobView  `cbor:"Views"` // at most one, except in the response to a Query
	Cancel     cluster.JobID      `cbor:"Cancel"`
	Submission *ProxiedSubmission `cbor:"Submit"`
	Status     ResponseStatus     `cbor:"Status"`
	RetryAfter int                `cbor:"After"` // seconds after which a rejected submission may be retried
	Reason     string             `cbor:"Why"`   // why a submission was rejected
}

// ProxiedSubmission is a submission that a controller forwards to another one because it
// currently cannot store the job itself.
type ProxiedSubmission struct {
	ID   cluster.JobID   `cbor:"ID"`
	Spec cluster.JobSpec `cbor:"Spec"`
}

// Ping is the message of the failure detector, both as a request and as a response. It also
// carries the state that controllers share with each other.
type Ping struct {
	InstanceID string      `cbor:"Boot"`  // identifies the sender's process
	Shards     []ShardTerm `cbor:"Parts"` // shards that the sender owns

	StoreReachable   bool `cbor:"StoreOK"`
	StoreFailing     bool `cbor:"StoreBad"` // the sender's last request to the store failed; if failures persist, StoreReachable becomes false
	WorkersReachable bool `cbor:"WorkersOK"`

	MillisSinceContact map[cluster.NodeID]int64 `cbor:"Heard"`  // milliseconds since each peer last answered a ping of the sender
	FailbackOffers     []cluster.ShardID        `cbor:"Offer"`  // shards that the recipient, their preferred owner, may acquire now
	TransferOffers     []TransferOffer          `cbor:"Groups"` // machine groups that other shards may take over

	WriteDemand float64               `cbor:"Puts"`  // writes per second that the sender could use
	CloudDemand float64               `cbor:"Cloud"` // cloud calls per second that the sender could use
	ShardLoads  []fairshare.ShardLoad `cbor:"Loads"`

	FeatureLevel int            `cbor:"Level"` // of the sender's release; 0 for releases without job dependencies
	KnownTerms   []cluster.Term `cbor:"Terms"` // latest term that the sender knows of each shard, indexed by shard ID
}

// ShardTerm is a shard that the sender owns and the term of its ownership.
type ShardTerm struct {
	Shard cluster.ShardID `cbor:"Part"`
	Term  cluster.Term    `cbor:"Term"`
}

// JobNotice notifies a controller of stored job records, so that it need not wait for its
// watch.
type JobNotice struct {
	Items []KV `cbor:"Keys"`
}

// JobQuery asks the owner of jobs for their status.
type JobQuery struct {
	IDs []cluster.JobID `cbor:"IDs"`
}

// TransferOffer offers a machine group with idle machines to another shard. The recipient
// shard's owner takes the group over by a compare-and-swap on the group's record.
type TransferOffer struct {
	Key         string              `cbor:"Key"`
	ModRevision cluster.ModRevision `cbor:"Mark"`
	Recipient   cluster.ShardID     `cbor:"To"`
	Kinds       []MachineKindCount  `cbor:"Kinds"`
}

// MachineKindCount is the number of machines of one type in a zone, either spot or
// on-demand.
type MachineKindCount struct {
	Type  string `cbor:"Type"`
	Zone  string `cbor:"Zone"`
	Spot  bool   `cbor:"Spot"`
	Count int    `cbor:"N"`
}
