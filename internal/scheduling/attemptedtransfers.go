package scheduling

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// attemptedTransfers holds the transfer offers of other controllers that this controller
// has already tried to accept, so that each is tried once. It maps the offering
// controller and the key of the group's record to the mod revision in the offer.
type attemptedTransfers map[cluster.NodeID]map[string]cluster.ModRevision

// contains reports whether an offer has been tried.
func (a attemptedTransfers) contains(from cluster.NodeID, offer messages.TransferOffer) bool {
	return a[from][offer.Key] == offer.ModRevision
}

// record adds an offer that is being tried.
func (a attemptedTransfers) record(from cluster.NodeID, offer messages.TransferOffer) {
	if a[from] == nil {
		a[from] = map[string]cluster.ModRevision{}
	}
	a[from][offer.Key] = offer.ModRevision
}

// forgetWithdrawn removes the groups that a controller no longer offers. offers holds its
// current offers.
func (a attemptedTransfers) forgetWithdrawn(from cluster.NodeID, offers []messages.TransferOffer) {
	maps.DeleteFunc(a[from], func(key string, _ cluster.ModRevision) bool {
		return !slices.ContainsFunc(offers, func(offer messages.TransferOffer) bool { return offer.Key == key })
	})
}
