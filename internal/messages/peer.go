package messages

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
)

// PeerReply answers a PeerCall.
type PeerReply struct {
	Outcome Outcome
	Message PeerMessage
}

// PeerMessage is what controllers say to one another; exactly one pointer is set.
type PeerMessage struct {
	Version    int                `cbor:"Version"`
	From       cluster.NodeID     `cbor:"From"`
	Ping       *Ping              `cbor:"Ping"`
	Notice     *JobNotice         `cbor:"Tell"`
	Query      *JobQuery          `cbor:"Ask"`
	Views      []cluster.JobView  `cbor:"Views"`
	Cancel     cluster.JobID      `cbor:"Cancel"`
	Submission *ProxiedSubmission `cbor:"Submit"`
	Status     ReplyStatus        `cbor:"Status"`
	RetryAfter int                `cbor:"After"` // seconds until a refused submission should come again
	Reason     string             `cbor:"Why"`
}

// ProxiedSubmission is a submission that its sender can't store now.
type ProxiedSubmission struct {
	ID   cluster.JobID   `cbor:"ID"`
	Spec cluster.JobSpec `cbor:"Spec"`
}

// Ping is both the call and the answer of failure detection.
type Ping struct {
	InstanceID         string                   `cbor:"Boot"`
	Shards             []ShardTerm              `cbor:"Parts"`
	StoreReachable     bool                     `cbor:"StoreOK"`
	StoreFailing       bool                     `cbor:"StoreBad"` // the last request failed; StoreOK follows if that lasts
	WorkersReachable   bool                     `cbor:"WorkersOK"`
	MillisSinceContact map[cluster.NodeID]int64 `cbor:"Heard"` // ms since each other node last answered
	FailbackOffers     []cluster.ShardID        `cbor:"Offer"` // parts that their home may claim back now
	TransferOffers     []TransferOffer          `cbor:"Groups"`
	WriteDemand        float64                  `cbor:"Puts"`  // a second that the sender could use
	CloudDemand        float64                  `cbor:"Cloud"` // calls of the cloud a second that the sender could use
	ShardLoads         []fairshare.ShardLoad    `cbor:"Loads"`
	FeatureLevel       int                      `cbor:"Level"` // of the sender's release; absent before pipelines
	KnownTerms         []cluster.Term           `cbor:"Terms"` // the latest terms that the sender knows, by part
}

// ShardLoad is what a part has and what its jobs could use, by priority.
type ShardLoad = fairshare.ShardLoad

// ShardTerm says that the sender holds a part.
type ShardTerm struct {
	Shard cluster.ShardID `cbor:"Part"`
	Term  cluster.Term    `cbor:"Term"`
}

// JobNotice passes on jobs that have just been stored.
type JobNotice struct {
	Keys []KV `cbor:"Keys"`
}

// JobQuery asks the owner about jobs.
type JobQuery struct {
	IDs []cluster.JobID `cbor:"IDs"`
}

// TransferOffer tells a part of a group of idle machines that it may take.
type TransferOffer struct {
	Key         string              `cbor:"Key"`
	ModRevision cluster.ModRevision `cbor:"Mark"`
	Recipient   cluster.ShardID     `cbor:"To"`
	Kinds       []MachineKindCount  `cbor:"Kinds"`
}

// MachineKindCount counts like machines.
type MachineKindCount struct {
	Type  string `cbor:"Type"`
	Zone  string `cbor:"Zone"`
	Spot  bool   `cbor:"Spot"`
	Count int    `cbor:"N"`
}
