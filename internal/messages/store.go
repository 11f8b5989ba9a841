package messages

import (
	"stairrelay/internal/cluster"
)

// KV is a key of the state service with its value. The field names are part of
// the messages between controllers.
type KV struct {
	Key         string              `cbor:"Key"`
	Value       []byte              `cbor:"Value"`
	ModRevision cluster.ModRevision `cbor:"Mark"`
}

// TxnOp sets a key, or deletes it when Value is nil.
type TxnOp struct {
	Key   string
	Value []byte
}

// Compare holds if a key's mod revision is still the given one; mod revision 0
// demands that the key is absent.
type Compare struct {
	Key         string
	ModRevision cluster.ModRevision
}

// StoreTxn is a compare-and-swap on the state service: either all of Then is
// applied or, when a compare of If fails, nothing. A TxnReply answers it.
type StoreTxn struct {
	Call CallID
	If   []Compare
	Then []TxnOp
}

// StoreGet reads a key. A GetReply answers it.
type StoreGet struct {
	Call CallID
	Key  string
}

// StoreList reads all keys with a prefix. A ListReply answers it.
type StoreList struct {
	Call   CallID
	Prefix string
}

// StoreWatch waits for changes of the keys with a prefix after a revision. A
// WatchReply answers it, without items when nothing changed until the timeout.
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
	FailedKeys []string // with Conflict: the keys whose compare failed
}

// GetReply answers a StoreGet.
type GetReply struct {
	Outcome Outcome
	KV      KV
}

// ListReply answers a StoreList. A list of several pages is no snapshot: keys
// that were changed while it was read may be missing, and a watch from Revision
// shows them.
type ListReply struct {
	Outcome   Outcome
	Items     []KV
	Revision  cluster.Revision // as of the first page
	Paginated bool             // the list took more than one page
}

// WatchReply answers a StoreWatch. An item with a nil value is a deleted key.
type WatchReply struct {
	Outcome  Outcome
	Items    []KV
	Revision cluster.Revision
}
