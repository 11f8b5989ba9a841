package state

import "stairrelay/internal/cluster"

// IsProvisioningCurrent tells whether a provisioning request is still one of the
// shard's: not when it is settled, or the shard was lost or loaded again meanwhile.
func (s *Shard) IsProvisioningCurrent(request *ProvisioningRequest) bool {
	return s.Owned && s.ProvisioningRequests[request.Name] == request
}

// UnansweredRequests counts the provisioning requests that the cloud has not answered.
func (p *ShardProvisioning) UnansweredRequestCount() int {
	count := 0
	for _, request := range p.ProvisioningRequests {
		if !request.Answered {
			count++
		}
	}
	return count
}

// IsBackedOff tells whether an option is not to be requested yet, because the cloud had
// not enough machines of it.
func (p *ShardProvisioning) IsBackedOff(option ProvisioningOption, now cluster.Time) bool {
	return now < p.OutOfCapacityUntil[option]
}

// MarkAnswered records that the cloud has answered the request with so many machines. An
// answered request is not repeated.
func (r *ProvisioningRequest) MarkAnswered(granted int) {
	r.Answered, r.GrantedCount = true, granted
}

// ExpectedMachines is how many machines are still to come from the request.
func (r *ProvisioningRequest) ExpectedMachineCount() int {
	if r.Answered {
		return r.GrantedCount
	}
	return r.Count
}
