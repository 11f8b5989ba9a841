package wire

import (
	"encoding/json"
	"errors"
	"fmt"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

var (
	// ErrNoRevision is the error of a state service's answer without its epoch.
	ErrNoRevision = errors.New("answer has no epoch")
	// ErrNoValue is the error of a key's answer without value or mark.
	ErrNoValue = errors.New("key's answer has no value or mark")
)

type compare struct {
	Key         string `json:"key"`
	ModRevision uint64 `json:"mark"`
}

type operation struct {
	Set   string          `json:"set,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
	Drop  string          `json:"drop,omitempty"`
}

// transaction's fields are in the order of their names, as all releases send them.
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
	for _, o := range txn.Then {
		if o.Value == nil {
			form.Then = append(form.Then, operation{Drop: o.Key})
		} else {
			form.Then = append(form.Then, operation{Set: o.Key, Value: o.Value})
		}
	}
	return marshal(form)
}

// TxnResponse is the answer to a transaction.
type TxnResponse struct {
	Revision   cluster.Revision
	FailedKeys []string // keys whose conditions did not hold
}

// DecodeTxn reads a transaction's answer.
func DecodeTxn(body []byte) (TxnResponse, error) {
	var form struct {
		Epoch  *uint64  `json:"epoch"`
		Failed []string `json:"failed"`
	}
	if err := json.Unmarshal(body, &form); err != nil {
		return TxnResponse{}, fmt.Errorf("reading transaction's answer: %w", err)
	}
	if form.Epoch == nil {
		return TxnResponse{}, fmt.Errorf("transaction: %w", ErrNoRevision)
	}
	return TxnResponse{Revision: cluster.Revision(*form.Epoch), FailedKeys: form.Failed}, nil
}

// item is a key of a list, with Key, or a change of a watch, with Set or Drop.
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

// DecodeGet reads a key.
func DecodeGet(body []byte) (messages.KV, error) {
	var form item
	if err := json.Unmarshal(body, &form); err != nil {
		return messages.KV{}, fmt.Errorf("reading key: %w", err)
	}
	if form.ModRevision == 0 || len(form.Value) == 0 {
		return messages.KV{}, ErrNoValue
	}
	return messages.KV{Key: form.Key, Value: form.Value, ModRevision: cluster.ModRevision(form.ModRevision)}, nil
}

// ItemPage is a page of keys, or of changes. A dropped key has no value.
type ItemPage struct {
	Items    []messages.KV
	More     bool // there is another page
	Revision cluster.Revision
}

// DecodeItems reads a page of keys, or of changes.
func DecodeItems(body []byte) (ItemPage, error) {
	var form struct {
		Items  []item  `json:"items"`
		Events []item  `json:"events"`
		More   bool    `json:"truncated"`
		Epoch  *uint64 `json:"epoch"`
	}
	if err := json.Unmarshal(body, &form); err != nil {
		return ItemPage{}, fmt.Errorf("reading keys: %w", err)
	}
	if form.Epoch == nil {
		return ItemPage{}, ErrNoRevision
	}
	page := ItemPage{More: form.More, Revision: cluster.Revision(*form.Epoch)}
	for _, i := range append(form.Items, form.Events...) {
		page.Items = append(page.Items, i.decode())
	}
	return page, nil
}
