package wire

import "stairrelay/internal/cluster"

// jobView is the form of a job's state. Its fields are those of cluster.JobView.
type jobView struct {
	ID      cluster.JobID     `json:"id"`
	Status  cluster.JobStatus `json:"status"`
	Done    int               `json:"done"`
	Running int               `json:"running"`
}

// EncodeJobView writes a job's state.
func EncodeJobView(view cluster.JobView) []byte { return marshal(jobView(view)) }
