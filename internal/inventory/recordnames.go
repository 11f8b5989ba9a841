package inventory

import (
	"strconv"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// RecordNames gives names to new records. One process never gives a name twice; the
// names of several processes and claims differ by the instance and the claim in them.
type RecordNames struct {
	instanceID           string
	machineGroups        int
	provisioningRequests int
}

// NewRecordNames makes the names of a process with an id of its own.
func NewRecordNames(instanceID string) *RecordNames { return &RecordNames{instanceID: instanceID} }

// NextGroup names a new machine group of a shard.
func (n *RecordNames) NextGroup(shard *state.Shard) string {
	n.machineGroups++
	return n.format(shard, n.machineGroups)
}

// NextProvisioningRequest names a new provisioning request of a shard.
func (n *RecordNames) NextProvisioningRequest(shard *state.Shard) string {
	n.provisioningRequests++
	return "r-" + n.format(shard, n.provisioningRequests)
}

func (n *RecordNames) format(shard *state.Shard, number int) string {
	return n.instanceID + "-" + strconv.FormatUint(uint64(shard.ClaimRevision), 10) + "-" + strconv.Itoa(number)
}

// claimRevisionFromKey reads from a group's key the claim under which it was created;
// false: the key has another form.
func claimRevisionFromKey(key string) (cluster.Revision, bool) {
	fields := strings.Split(key, "-")
	if len(fields) < 3 {
		return 0, false
	}
	revision, err := strconv.ParseUint(fields[len(fields)-2], 10, 64)
	return cluster.Revision(revision), err == nil
}
