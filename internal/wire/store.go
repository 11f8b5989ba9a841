package wire

import (
	"encoding/json"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// The bodies that the state service sends, as errors name them.
const (
	txnBody     = "response to transaction"
	keyBody     = "key"
	keyPageBody = "page of keys or changes"
)

// compare is the form of a condition of a transaction.
type compare struct {
	Key         string `json:"key"`
	ModRevision uint64 `json:"mark"`
}

// operation is the form of an operation of a transaction.
type operation struct {
	Set   string          `json:"set,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
	Drop  string          `json:"drop,omitempty"`
}

// transaction is the form of a transaction. Its fields are in the order of their names,
// as all versions send them.
type transaction struct {
	Then []operation `json:"then"`
	When []compare   `json:"when"`
}

// EncodeTxn writes a transaction.
func EncodeTxn(txn messages.StoreTxn) []byte {
	form := transaction{
		Then: make([]operation, 0, len(txn.Then)),
		When: make([]compare, 0, len(txn.If)),
	}
	for _, c := range txn.If {
		form.When = append(form.When, compare{Key: c.Key, ModRevision: uint64(c.ModRevision)})
	}
	for _, op := range txn.Then {
		if op.Value == nil {
			form.Then = append(form.Then, operation{Drop: op.Key})
		} else {
			form.Then = append(form.Then, operation{Set: op.Key, Value: op.Value})
		}
	}
	return marshal(form)
}

// TxnResponse is the response to a transaction.
type TxnResponse struct {
	Revision   cluster.Revision
	FailedKeys []string // the keys whose compares failed
}

// DecodeTxnResponse reads the response to a transaction.
func DecodeTxnResponse(body []byte) (TxnResponse, error) {
	var form struct {
		Revision *uint64  `json:"epoch"`
		Failed   []string `json:"failed"`
	}
	if err := unmarshal(body, txnBody, &form); err != nil {
		return TxnResponse{}, err
	}
	if form.Revision == nil {
		return TxnResponse{}, &DecodeError{What: txnBody, Err: ErrNoRevision}
	}
	return TxnResponse{Revision: cluster.Revision(*form.Revision), FailedKeys: form.Failed}, nil
}

// item is the form of a key in a list, with Key, or of a change in a watch, with Set or
// Drop.
type item struct {
	Key         string          `json:"key"`
	Set         string          `json:"set"`
	Drop        string          `json:"drop"`
	Value       json.RawMessage `json:"value"`
	ModRevision uint64          `json:"mark"`
}

func (i *item) decode() messages.KV {
	kv := messages.KV{Key: i.Key, Value: i.Value, ModRevision: cluster.ModRevision(i.ModRevision)}
	switch {
	case i.Drop != "":
		kv.Key = i.Drop
		kv.Value = nil
	case i.Set != "":
		kv.Key = i.Set
	}
	return kv
}

// DecodeKV reads a key.
func DecodeKV(body []byte) (messages.KV, error) {
	var form item
	if err := unmarshal(body, keyBody, &form); err != nil {
		return messages.KV{}, err
	}
	if form.ModRevision == 0 || len(form.Value) == 0 {
		return messages.KV{}, &DecodeError{What: keyBody, Err: ErrNoValue}
	}
	return messages.KV{Key: form.Key, Value: form.Value, ModRevision: cluster.ModRevision(form.ModRevision)}, nil
}

// KVPage is a page of keys, or of changes. A deleted key has no value.
type KVPage struct {
	Items    []messages.KV
	More     bool // there is another page
	Revision cluster.Revision
}

// DecodeKVPage reads a page of keys, or of changes.
func DecodeKVPage(body []byte) (KVPage, error) {
	var form struct {
		Items    []item  `json:"items"`
		Events   []item  `json:"events"`
		More     bool    `json:"truncated"`
		Revision *uint64 `json:"epoch"`
	}
	if err := unmarshal(body, keyPageBody, &form); err != nil {
		return KVPage{}, err
	}
	if form.Revision == nil {
		return KVPage{}, &DecodeError{What: keyPageBody, Err: ErrNoRevision}
	}
	page := KVPage{More: form.More, Revision: cluster.Revision(*form.Revision)}
	for _, i := range append(form.Items, form.Events...) {
		page.Items = append(page.Items, i.decode())
	}
	return page, nil
}
