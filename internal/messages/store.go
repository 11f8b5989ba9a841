package messages

import (
	"stairrelay/internal/cluster"
)

// KV is a key-value pair of the consensus-backed key-value store. It is part of messages
// between controllers, so its encoded field names must not change.
type KV struct {
	Key         string              `cbor:"Key"`
	Value       []byte              `cbor:"Value"`
	ModRevision cluster.ModRevision `cbor:"Mark"`
}

// TxnOp puts a key, or deletes it if Value is nil.
type TxnOp struct {
	Key   string
	Value []byte
}

// Compare is a precondition of a transaction. It holds if the key has the given mod
// revision, or does not exist if ModRevision is 0.
type Compare struct {
	Key         string
	ModRevision cluster.ModRevision
}

// StoreTxn is a compare-and-swap transaction on the store. All operations of Then
// are applied atomically if every compare of If holds; otherwise none is. It is answered
// by a TxnReply.
type StoreTxn struct {
	Call CallID
	If   []Compare
	Then []TxnOp
}

// StoreGet reads a key. It is answered by a GetReply.
type StoreGet struct {
	Call CallID
	Key  string
}

// StoreList reads all keys with a prefix. It is answered by a ListReply.
type StoreList struct {
	Call   CallID
	Prefix string
}

// StoreWatch waits until keys with a prefix have changed after a revision, or until the
// timeout. It is answered by a WatchReply, which has no items after a timeout.
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
	FailedKeys []string // keys whose compare failed; only with Conflict
}

// GetReply answers a StoreGet.
type GetReply struct {
	Outcome Outcome
	KV      KV
}

// ListReply answers a StoreList. A paginated list is not a consistent snapshot: keys that
// change while it is read may be missing. A watch from Revision returns these changes.
type ListReply struct {
	Outcome   Outcome
	Items     []KV
	Revision  cluster.Revision // revision of the first page
	Paginated bool             // whether the list was read in more than one page
}

// WatchReply answers a StoreWatch. An item with a nil value is a deletion of the key.
type WatchReply struct {
	Outcome  Outcome
	Items    []KV
	Revision cluster.Revision
}
