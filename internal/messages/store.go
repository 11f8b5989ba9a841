package messages

import (
	"stairrelay/internal/cluster"
)

// KV is a key of the store with its value.
type KV struct {
	Key         string              `cbor:"Key"`
	Value       []byte              `cbor:"Value"`
	ModRevision cluster.ModRevision `cbor:"Mark"`
}

// TxnOp sets a key, or drops it when Value is nil.
type TxnOp struct {
	Key   string
	Value []byte
}

// Compare demands a key's version.
type Compare struct {
	Key         string
	ModRevision cluster.ModRevision
}

// StoreTxn asks for an atomic change.
type StoreTxn struct {
	Call CallID
	If   []Compare
	Then []TxnOp
}

// StoreGet reads a key.
type StoreGet struct {
	Call CallID
	Key  string
}

// StoreList reads all keys with a prefix.
type StoreList struct {
	Call   CallID
	Prefix string
}

// StoreWatch waits for changes.
type StoreWatch struct {
	Call          CallID
	Prefix        string
	SinceRevision cluster.Revision
	Timeout       cluster.Time
}

// TxnReply answers a StoreTxn.
type TxnReply struct {
	Outcome    Outcome
	Revision   cluster.Revision
	FailedKeys []string
}

// GetReply answers a StoreGet.
type GetReply struct {
	Outcome Outcome
	KV      KV
}

// ListReply answers a StoreList.
type ListReply struct {
	Outcome   Outcome
	Items     []KV
	Revision  cluster.Revision // as of the first page
	Paginated bool             // more than one page: records changed between them may be missing
}

// WatchReply answers a StoreWatch; an item without value was dropped.
type WatchReply struct {
	Outcome  Outcome
	Items    []KV
	Revision cluster.Revision
}
