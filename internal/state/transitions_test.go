package state

import (
	"testing"

	"stairrelay/internal/cluster"
)

// TestRequestStopKeepsFirstTime checks that a repeated request with a shorter grace period
// keeps the times of the first one, from which an ignored stop is detected.
func TestRequestStopKeepsFirstTime(t *testing.T) {
	var a Assignment
	a.RequestStop(30, 5*cluster.Second)
	a.MarkStopSent(6 * cluster.Second)
	a.RequestStop(0, 9*cluster.Second)
	a.MarkStopSent(10 * cluster.Second)
	if a.StopRequestedAt != 5*cluster.Second || a.StopSentAt != 6*cluster.Second || a.GraceSeconds != 0 {
		t.Errorf("requested at %d, sent at %d, grace period %g s; want the first times and no grace period", a.StopRequestedAt, a.StopSentAt, a.GraceSeconds)
	}
}

// TestAcknowledgeUnverified checks that a task started by an earlier owner is still marked
// as such after a heartbeat has shown it.
func TestAcknowledgeUnverified(t *testing.T) {
	for phase, unobserved := range map[AssignmentPhase]bool{PhaseUnverified: true, PhaseDispatched: false} {
		a := Assignment{Phase: phase}
		a.Acknowledge(cluster.Fetching)
		a.Acknowledge(cluster.Running)
		if a.Phase != PhaseAcknowledged || a.State != cluster.Running || a.StartUnobserved != unobserved {
			t.Errorf("from phase %d: phase %d, state %d, start unobserved %v", phase, a.Phase, a.State, a.StartUnobserved)
		}
	}
}

// TestRecordRunning checks that only the first heartbeat that shows a task running sets
// the task's RunningSince and its job's FirstRunAt and LastRunAt.
func TestRecordRunning(t *testing.T) {
	job := NewJob(cluster.JobSpec{ID: "j-1", Tasks: 2}, 0, 0, 0)
	first, second := &Assignment{Job: job}, &Assignment{Job: job}
	if !first.RecordRunning(3) || first.RecordRunning(4) || !second.RecordRunning(5) {
		t.Error("RecordRunning does not return true for the first call only")
	}
	if first.RunningSince != 3 || job.FirstRunAt != 3 || job.LastRunAt != 5 {
		t.Errorf("running since %d, first run of the job at %d, last at %d; want 3, 3, 5", first.RunningSince, job.FirstRunAt, job.LastRunAt)
	}
}
