package core

import "testing"

// TestAwaitsNotHandedToOld: a controller that has lost the store never hands a
// job that awaits others on to one of an earlier release, which would store it
// without them and start it at once.
func TestAwaitsNotHandedToOld(t *testing.T) {
	for level, want := range map[int]bool{0: false, pipelineLevel: true} {
		b := newCoreHarness()
		b.timers, b.out = timerQueue{}, nil
		for _, p := range b.peers {
			p.heard, p.pingAt, p.ping.StoreOK, p.ping.Level = true, b.now, true, level
		}
		b.storeHealth.failing, b.storeHealth.failingSince = true, b.now-10*second
		b.jobs.known["j-1"] = &knownJob{part: 0, tasks: 1, team: "red"}
		b.onSubmit(Submit{Req: 1, Job: JobSpec{ID: "j-2", Team: "red", Tasks: 1, Need: Res{CPU: 1_000_000}, Awaits: []JobID{"j-1"}}})
		handed := false
		for _, f := range b.out {
			if c, ok := f.(PeerCall); ok && c.Msg.Submit != nil {
				handed = true
			}
		}
		if handed != want {
			t.Errorf("level %d: handed on: %v, want %v", level, handed, want)
		}
	}
}
