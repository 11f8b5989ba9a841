package membership

import (
	"fmt"

	"stairrelay/internal/messages"
)

// PingError says which field of a ping exceeds its bound.
type PingError struct {
	Field string
	Count int
	Max   int
}

// Error names the field and how much it may hold.
func (e *PingError) Error() string {
	return fmt.Sprintf("%s: %d, at most %d make sense", e.Field, e.Count, e.Max)
}

// MaxTransferOffers is how many machine groups a ping offers; the others follow once
// those were acquired or have lapsed.
const MaxTransferOffers = 256

// validatePing refuses a ping that lists more than there can be. The lists are
// gone through, and counts in them are gone through one by one, so that an absurd
// one would hold up everything else.
func (m *Members) validatePing(ping *messages.Ping) error {
	nodes := len(m.config.Nodes)
	shards := nodes // each node is the preferred owner of one
	for _, list := range []PingError{
		{"Parts", len(ping.Shards), shards},
		{"Offer", len(ping.FailbackOffers), shards},
		{"Loads", len(ping.ShardLoads), shards},
		{"Terms", len(ping.KnownTerms), shards},
		{"Heard", len(ping.MillisSinceContact), nodes},
		{"Groups", len(ping.TransferOffers), MaxTransferOffers},
	} {
		if list.Count > list.Max {
			return &list
		}
	}
	for _, offer := range ping.TransferOffers {
		if err := m.validateOffer(&offer); err != nil {
			return err
		}
	}
	return nil
}

// validateOffer refuses a group with more machines than a record can list.
func (m *Members) validateOffer(offer *messages.TransferOffer) error {
	machines, most := 0, m.config.MaxValueBytes
	for _, kind := range offer.Kinds {
		if kind.Count < 0 || kind.Count > most || machines > most {
			return &PingError{"Groups.Kinds.N", kind.Count, most}
		}
		machines += kind.Count
	}
	return nil
}

// checkPing validates a peer's ping. What is wrong with it is logged once.
func (m *Members) checkPing(from *Peer, ping *messages.Ping) error {
	err := m.validatePing(ping)
	if err != nil && from.lastPingError != err.Error() {
		from.lastPingError = err.Error()
		m.loop.Log(messages.LogInfo, "invalid ping", "node", string(from.id), "error", err.Error())
	}
	return err
}
