package jobs

import (
	"testing"

	"stairrelay/internal/cluster"
)

// TestRecordView checks the status of a job according to its own record.
func TestRecordView(t *testing.T) {
	spec := &cluster.JobSpec{Team: "red", Tasks: 5}
	for _, test := range []struct {
		name   string
		record Record
		want   cluster.JobView
		ok     bool
	}{
		{"admitted", Record{Spec: spec}, cluster.JobView{Status: cluster.JobPending}, true},
		{"partly done", Record{Spec: spec, CompletedIndexes: "0-2"}, cluster.JobView{Status: cluster.JobRunning, Done: 3}, true},
		{"done", Record{FinalStatus: cluster.JobDone, Tasks: 5}, cluster.JobView{Status: cluster.JobDone, Done: 5}, true},
		{"cancelled", Record{FinalStatus: cluster.JobCancelled, Tasks: 5}, cluster.JobView{Status: cluster.JobCancelled}, true},
		{"empty", Record{}, cluster.JobView{}, false},
	} {
		test.want.ID = "j-1"
		got, ok := test.record.view("j-1")
		if ok != test.ok || ok && got != test.want {
			t.Errorf("%s: got %+v, %v; want %+v, %v", test.name, got, ok, test.want, test.ok)
		}
	}
}
