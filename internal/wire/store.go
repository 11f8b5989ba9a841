package wire

import (
	"encoding/json"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// Kinds of response bodies of the store, as named in errors.
const (
	txnBody     = "response to transaction"
	keyBody     = "key"
	keyPageBody = "page of keys or changes"
)

// compare is the JSON encoding of a condition of a transaction.
type compare struct {
	Key         string `json:"key"`
	ModRevision uint64 `json:"mark"`
}

// operation is the JSON encoding of an operation of a transaction, a put or a delete.
type operation struct {
	PutKey    string          `json:"set,omitempty"`
	Value     json.RawMessage `json:"value,omitempty"`
	DeleteKey string          `json:"drop,omitempty"`
}

// transaction is the JSON encoding of a transaction. The fields are in the order of
// their JSON names, which is the order on the wire in all versions.
type transaction struct {
	Operations []operation `json:"then"`
	Compares   []compare   `json:"when"`
}

// EncodeTxn encodes a transaction.
func EncodeTxn(txn messages.StoreTxn) []byte {
	payload := transaction{
		Operations: make([]operation, 0, len(txn.Then)),
		Compares:   make([]compare, 0, len(txn.If)),
	}
	for _, c := range txn.If {
		payload.Compares = append(payload.Compares, compare{Key: c.Key, ModRevision: uint64(c.ModRevision)})
	}
	for _, op := range txn.Then {
		if op.Value == nil {
			payload.Operations = append(payload.Operations, operation{DeleteKey: op.Key})
		} else {
			payload.Operations = append(payload.Operations, operation{PutKey: op.Key, Value: op.Value})
		}
	}
	return marshal(payload)
}

// TxnResponse is the response to a transaction.
type TxnResponse struct {
	Revision   cluster.Revision
	FailedKeys []string // keys whose compares failed
}

// DecodeTxnResponse decodes the response to a transaction. A missing revision is an
// error.
func DecodeTxnResponse(body []byte) (TxnResponse, error) {
	var payload struct {
		Revision *uint64  `json:"epoch"`
		Failed   []string `json:"failed"`
	}
	if err := unmarshal(body, txnBody, &payload); err != nil {
		return TxnResponse{}, err
	}
	if payload.Revision == nil {
		return TxnResponse{}, &DecodeError{Kind: txnBody, Err: ErrNoRevision}
	}
	return TxnResponse{Revision: cluster.Revision(*payload.Revision), FailedKeys: payload.Failed}, nil
}

// kvEntry is the JSON encoding of a key in a list, which has Key, or of a change in a
// watch, which has PutKey or DeletedKey.
type kvEntry struct {
	Key         string          `json:"key"`
	PutKey      string          `json:"set"`
	DeletedKey  string          `json:"drop"`
	Value       json.RawMessage `json:"value"`
	ModRevision uint64          `json:"mark"`
}

func (e *kvEntry) decode() messages.KV {
	kv := messages.KV{Key: e.Key, Value: e.Value, ModRevision: cluster.ModRevision(e.ModRevision)}
	switch {
	case e.DeletedKey != "":
		kv.Key = e.DeletedKey
		kv.Value = nil
	case e.PutKey != "":
		kv.Key = e.PutKey
	}
	return kv
}

// DecodeKV decodes the response to a read of a key. A missing value or mod revision is
// an error.
func DecodeKV(body []byte) (messages.KV, error) {
	var payload kvEntry
	if err := unmarshal(body, keyBody, &payload); err != nil {
		return messages.KV{}, err
	}
	if payload.ModRevision == 0 || len(payload.Value) == 0 {
		return messages.KV{}, &DecodeError{Kind: keyBody, Err: ErrNoValue}
	}
	return messages.KV{Key: payload.Key, Value: payload.Value, ModRevision: cluster.ModRevision(payload.ModRevision)}, nil
}

// KVPage is a page of a list of keys, or the changes of a watch. A deleted key has a
// nil value.
type KVPage struct {
	Items    []messages.KV
	More     bool // there are more pages
	Revision cluster.Revision
}

// DecodeKVPage decodes a page of a list, or the changes of a watch. A missing revision
// is an error.
func DecodeKVPage(body []byte) (KVPage, error) {
	var payload struct {
		Items    []kvEntry `json:"items"`
		Events   []kvEntry `json:"events"`
		More     bool      `json:"truncated"`
		Revision *uint64   `json:"epoch"`
	}
	if err := unmarshal(body, keyPageBody, &payload); err != nil {
		return KVPage{}, err
	}
	if payload.Revision == nil {
		return KVPage{}, &DecodeError{Kind: keyPageBody, Err: ErrNoRevision}
	}
	page := KVPage{More: payload.More, Revision: cluster.Revision(*payload.Revision)}
	for _, entry := range append(payload.Items, payload.Events...) {
		page.Items = append(page.Items, entry.decode())
	}
	return page, nil
}
