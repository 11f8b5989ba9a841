package wire

import "stairrelay/internal/cluster"

// jobView is the JSON encoding of a job's state. Its fields match those of
// cluster.JobView, from which it is converted.
type jobView struct {
	ID      cluster.JobID     `json:"id"`
	Status  cluster.JobStatus `json:"status"`
	Done    int               `json:"done"`
	Running int               `json:"running"`
}

// EncodeJobView encodes a job's state.
func EncodeJobView(view cluster.JobView) []byte { return marshal(jobView(view)) }
