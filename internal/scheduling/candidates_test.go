package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
)

const cpu = cluster.AmountsPerUnit

// TestImageFetches checks that a second image is fetched concurrently only for a task of a
// higher priority than the waiting ones, or if few CPUs of a large machine wait.
func TestImageFetches(t *testing.T) {
	for _, test := range []struct {
		name                string
		waitingPriority     cluster.Priority // priority of the tasks that wait for another image
		waitingCPUs         cluster.Amount   // CPUs of these tasks
		priority            cluster.Priority
		taskCPU, machineCPU cluster.Amount
		want                ImageState
	}{
		{"equal priority", cluster.Normal, 4, cluster.Normal, 1, 8, ImageBlocked},
		{"higher priority", cluster.Normal, 4, cluster.Urgent, 1, 8, ImageAbsent},
		{"urgent tasks wait for the other image", cluster.Urgent, 4, cluster.Production, 1, 8, ImageBlocked},
		{"large machine, one sixteenth of its CPUs waits", cluster.Normal, 1, cluster.Normal, 1, 16, ImageAbsent},
		{"large machine, one eighth of its CPUs waits", cluster.Normal, 2, cluster.Normal, 1, 16, ImageBlocked},
		{"room for too few tasks of the job", cluster.Normal, 1, cluster.Normal, 2, 31, ImageBlocked},
	} {
		t.Run(test.name, func(t *testing.T) {
			taskCPU, machineCPU := test.taskCPU*cpu, test.machineCPU*cpu
			var fetches ImageFetches
			if got := fetches.State("new", test.priority, taskCPU, machineCPU); got != ImageAbsent {
				t.Errorf("state %d while no image is being fetched, want %d", got, ImageAbsent)
			}
			fetches.Add("other", test.waitingPriority, test.waitingCPUs*cpu)
			if got := fetches.State("new", test.priority, taskCPU, machineCPU); got != test.want {
				t.Errorf("state %d, want %d", got, test.want)
			}
			if got := fetches.State("other", test.priority, taskCPU, machineCPU); got != ImageFetching {
				t.Errorf("state %d of the image that is being fetched, want %d", got, ImageFetching)
			}
		})
	}
}

// TestImageFetchesOfSeveralTasks checks that the highest priority and the total CPUs of
// all waiting tasks determine whether another image may be fetched.
func TestImageFetchesOfSeveralTasks(t *testing.T) {
	var fetches ImageFetches
	fetches.Add("other", cluster.Urgent, cpu)
	fetches.Add("other", cluster.BestEffort, cpu)
	if got := fetches.State("new", cluster.Urgent, cpu, 16*cpu); got != ImageBlocked {
		t.Errorf("state %d while two tasks wait for another image, want ImageBlocked", got)
	}
	if got := fetches.State("new", cluster.Urgent, cpu, 17*cpu); got != ImageAbsent {
		t.Errorf("state %d on a larger machine while two tasks wait for another image, want ImageAbsent", got)
	}
	if got := fetches.State("new", cluster.Normal, cpu, 16*cpu); got != ImageBlocked {
		t.Errorf("state %d for a lower priority than that of a waiting task, want ImageBlocked", got)
	}
	// The first image still blocks the new one while a third image is being fetched too.
	fetches.Add("third", cluster.BestEffort, 0)
	if got := fetches.State("new", cluster.Normal, cpu, 16*cpu); got != ImageBlocked {
		t.Errorf("state %d for a lower priority than that of a task waiting for the first of two images, want ImageBlocked", got)
	}
}

// TestCandidateOrder checks Compare for all pairs of candidates in a sorted list, and that
// risky spot machines rank after on-demand machines.
func TestCandidateOrder(t *testing.T) {
	order := []Candidate{
		{ImageCached, true, true, 1},
		{ImageCached, false, false, 9},
		{ImageFetching, true, true, 9},
		{ImageAbsent, false, true, 9},
		{ImageAbsent, true, true, 8},
		{ImageAbsent, true, false, 9},
	}
	for i := range order {
		for k := range order {
			got := order[i].Compare(&order[k], false)
			if !hasSignOf(got, i-k) {
				t.Errorf("candidate %d compared with candidate %d: %d", i, k, got)
			}
		}
	}
	spot, onDemand := &order[0], &order[3]
	if onDemand.Compare(spot, true) >= 0 || spot.Compare(onDemand, true) <= 0 {
		t.Error("a risky spot machine ranks before an on-demand machine")
	}
	if spot.Compare(&order[2], true) >= 0 {
		t.Error("the image state does not decide between two spot machines")
	}
}
