package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/jobs"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestDependentJobNotProxiedToOldVersion checks that a job with dependencies is not
// proxied to a controller of an earlier release, which would ignore the dependencies.
func TestDependentJobNotProxiedToOldVersion(t *testing.T) {
	for level, want := range map[int]bool{0: false, jobs.DependencyFeatureLevel: true} {
		h := newControllerHarness()
		dropTimers(h.Controller)
		takeEffects(h.Controller)
		for _, peer := range h.members.Peers() {
			h.members.HandlePingReply(peer, &messages.Ping{StoreReachable: true, FeatureLevel: level}, h.loop.Now())
		}
		h.writeQueue.Health.MarkFailing(h.loop.Now() - 10*second)
		h.state.Jobs.Known["j-1"] = &state.KnownJob{ShardID: 0, Tasks: 1, Team: "red"}
		h.jobs.Submissions.HandleSubmit(messages.Submit{Request: 1, Spec: cluster.JobSpec{ID: "j-2", Team: "red", Tasks: 1, ResourceRequest: cluster.Resources{CPU: 1_000_000}, Dependencies: []cluster.JobID{"j-1"}}})
		proxied := false
		for _, effect := range h.loop.Effects() {
			if call, ok := effect.(messages.PeerCall); ok && call.Message.Submission != nil {
				proxied = true
			}
		}
		if proxied != want {
			t.Errorf("feature level %d: proxied %v, want %v", level, proxied, want)
		}
	}
}
