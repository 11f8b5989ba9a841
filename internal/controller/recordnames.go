package controller

import (
	"strconv"

	"stairrelay/internal/state"
)

// recordNames counts the names given to records, so that none is given twice by
// one process. Of several processes and claims, the boot and the claim in the
// name differ.
type recordNames struct {
	machineGroups        int
	provisioningRequests int
}

// nextMachineGroupName names a new group of a part.
func (c *Controller) nextMachineGroupName(p *state.Shard) string {
	c.recordNames.machineGroups++
	return c.formatRecordName(p, c.recordNames.machineGroups)
}

// nextProvisioningRequestName names a new rental of a part.
func (c *Controller) nextProvisioningRequestName(p *state.Shard) string {
	c.recordNames.provisioningRequests++
	return "r-" + c.formatRecordName(p, c.recordNames.provisioningRequests)
}

func (c *Controller) formatRecordName(p *state.Shard, number int) string {
	return c.config.InstanceID + "-" + strconv.FormatUint(uint64(p.ClaimRevision), 10) + "-" + strconv.Itoa(number)
}
