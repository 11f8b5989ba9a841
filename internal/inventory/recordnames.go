package inventory

import (
	"strconv"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// RecordNames generates unique names for new records. A name contains the instance ID of
// the process, the revision of the shard's claim and a counter.
type RecordNames struct {
	instanceID              string
	lastGroup               int
	lastProvisioningRequest int
}

// NewRecordNames returns a generator for the process with the given instance ID, which
// must be unique.
func NewRecordNames(instanceID string) *RecordNames { return &RecordNames{instanceID: instanceID} }

// NextGroup returns the name of a new machine group of a shard.
func (n *RecordNames) NextGroup(shard *state.Shard) string {
	n.lastGroup++
	return n.format(shard, n.lastGroup)
}

// NextProvisioningRequest returns the name of a new provisioning request of a shard.
func (n *RecordNames) NextProvisioningRequest(shard *state.Shard) string {
	n.lastProvisioningRequest++
	return "r-" + n.format(shard, n.lastProvisioningRequest)
}

func (n *RecordNames) format(shard *state.Shard, number int) string {
	return n.instanceID + "-" + strconv.FormatUint(uint64(shard.ClaimRevision), 10) + "-" + strconv.Itoa(number)
}

// claimRevisionFromKey returns the revision of the claim under which a group was created,
// which is part of its key. It returns false if the key does not contain one.
func claimRevisionFromKey(key string) (cluster.Revision, bool) {
	fields := strings.Split(key, "-")
	if len(fields) < 3 {
		return 0, false
	}
	revision, err := strconv.ParseUint(fields[len(fields)-2], 10, 64)
	return cluster.Revision(revision), err == nil
}
