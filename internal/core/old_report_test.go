package core

import "testing"

const (
	earlierAttempt = Attempt(7)
	presentAttempt = Attempt(8)
)

// reportUnderToken is a report of the machine's present session under its
// present token, which is proof of what it does not show.
func reportUnderToken(m *machine, stamp Stamp, tasks ...TaskReport) *Report {
	return &Report{Machine: m.id, Addr: m.addr, Session: m.session, Stamp: stamp, Token: m.token, Notice: -1, Tasks: tasks}
}

// runningPresentAttempt is a machine on which the present attempt of a task runs.
func runningPresentAttempt(b *coreHarness) (*machine, *assign) {
	m, present := b.running(b.job("j-1", 1))
	present.attempt = presentAttempt
	return m, present
}

// TestEarlierAttemptEnded: a worker still shows the end of an earlier attempt of
// a task beside the present one. Taken for the present attempt's, that end would
// free the task, and it would start elsewhere while it runs here.
func TestEarlierAttemptEnded(t *testing.T) {
	b := newCoreHarness()
	m, present := runningPresentAttempt(b)
	task := present.task
	b.reconcile(m, reportUnderToken(m, m.stamp+1,
		TaskReport{Task: task, Attempt: earlierAttempt, State: Ended, Cause: CauseStopped},
		TaskReport{Task: task, Attempt: presentAttempt, State: Running}), false)
	if present.gone || present.phase != aSeen {
		t.Errorf("the present attempt: gone %v, phase %d; want it running", present.gone, present.phase)
	}
	if !m.reap[start{task, earlierAttempt}] {
		t.Error("the worker is not told to forget the earlier attempt")
	}
}

// TestEarlierAttemptRuns: a worker shows that an earlier attempt runs, and
// nothing of the present one, whose start was sent. Taken for the present
// attempt, it could not be stopped: commands name the attempt that they mean.
func TestEarlierAttemptRuns(t *testing.T) {
	b := newCoreHarness()
	m, present := runningPresentAttempt(b)
	present.phase, present.sentStamp = aSent, m.stamp
	b.reconcile(m, reportUnderToken(m, m.stamp+1,
		TaskReport{Task: present.task, Attempt: earlierAttempt, State: Running}), false)
	if !m.kill[start{present.task, earlierAttempt}] {
		t.Error("the earlier attempt is not stopped")
	}
	if present.phase != aReady {
		t.Errorf("the present attempt is in phase %d, want %d: its start did not arrive", present.phase, aReady)
	}
}

// TestAbsenceInOlderReport: a report that lacks a task proves it gone only if it
// is newer than the last one taken in. One of an earlier session proves nothing
// whatever its stamp, as stamps begin anew with each session.
func TestAbsenceInOlderReport(t *testing.T) {
	const (
		lastSession = Session(2)
		lastStamp   = Stamp(5)
	)
	for _, test := range []struct {
		name    string
		session Session
		stamp   Stamp
		proof   bool
	}{
		{"newer", lastSession, lastStamp + 1, true},
		{"the same report again", lastSession, lastStamp, false},
		{"an older one of this session", lastSession, lastStamp - 1, false},
		{"an earlier session's, with a higher stamp", lastSession - 1, lastStamp + 50, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newCoreHarness()
			m, present := runningPresentAttempt(b)
			m.session, m.stamp = lastSession, lastStamp
			report := reportUnderToken(m, test.stamp)
			report.Session = test.session
			if taken := b.reconcile(m, report, false); taken != test.proof {
				t.Errorf("taken in %v, want %v", taken, test.proof)
			}
			if present.gone != test.proof {
				t.Errorf("the task counts as gone: %v, want %v", present.gone, test.proof)
			}
		})
	}
}
