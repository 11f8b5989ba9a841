package state

import "stairrelay/internal/cluster"

// IsProvisioningCurrent reports whether request is still an open request of the shard. The
// result is false if the request was completed, or if the shard was lost, even if it has
// been acquired again.
func (s *Shard) IsProvisioningCurrent(request *ProvisioningRequest) bool {
	return s.Owned && s.ProvisioningRequests[request.Name] == request
}

// UnansweredRequestCount returns the number of provisioning requests that the cloud has
// not answered.
func (p *ShardProvisioning) UnansweredRequestCount() int {
	count := 0
	for _, request := range p.ProvisioningRequests {
		if !request.Answered {
			count++
		}
	}
	return count
}

// IsBackedOff reports whether an option must not be requested yet, because the cloud was
// out of capacity or rejected the option as invalid.
func (p *ShardProvisioning) IsBackedOff(option ProvisioningOption, now cluster.Time) bool {
	return now < p.OptionBackoffUntil[option]
}

// MarkAnswered records that the cloud has answered the request and granted the given number
// of machines, which may be 0. An answered request is not retried.
func (r *ProvisioningRequest) MarkAnswered(granted int) {
	r.Answered, r.GrantedCount = true, granted
}

// ExpectedMachineCount returns the number of machines granted or, while the request is
// unanswered, the number requested.
func (r *ProvisioningRequest) ExpectedMachineCount() int {
	if r.Answered {
		return r.GrantedCount
	}
	return r.Count
}
