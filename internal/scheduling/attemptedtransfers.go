package scheduling

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// attemptedTransfers are the machine groups offered by other controllers that this
// one has tried to acquire, by the controller and the record's key, with the mod
// revision of the record then. Each offer is tried once.
type attemptedTransfers map[cluster.NodeID]map[string]cluster.ModRevision

// contains tells whether an offer was tried.
func (a attemptedTransfers) contains(from cluster.NodeID, offer messages.TransferOffer) bool {
	return a[from][offer.Key] == offer.ModRevision
}

// record records that an offer was tried.
func (a attemptedTransfers) record(from cluster.NodeID, offer messages.TransferOffer) {
	if a[from] == nil {
		a[from] = map[string]cluster.ModRevision{}
	}
	a[from][offer.Key] = offer.ModRevision
}

// retainOffered forgets the groups that a controller offers no longer.
func (a attemptedTransfers) forgetWithdrawn(from cluster.NodeID, offers []messages.TransferOffer) {
	maps.DeleteFunc(a[from], func(key string, _ cluster.ModRevision) bool {
		return !slices.ContainsFunc(offers, func(offer messages.TransferOffer) bool { return offer.Key == key })
	})
}
