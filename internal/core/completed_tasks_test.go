package core

import (
	"strings"
	"testing"
)

// report is a machine's next account of itself.
func (b *coreHarness) report(m *machine, tasks ...TaskReport) {
	b.reconcile(m, &Report{Machine: m.id, Session: m.session, Stamp: m.stamp + 1, Token: m.token, Notice: -1, Tasks: tasks}, false)
}

// TestCompletedLeavesRecord: a completed task is left out of its group's next
// record, though its outcome is not stored yet. It stays in the books and with
// its worker until that is stored, and then goes without another write of the
// record. Listed until then, completed tasks filled the records of a store that
// was short of writes: groups were split, and each start needed more writes.
func TestCompletedLeavesRecord(t *testing.T) {
	b := newCoreHarness()
	j := b.job("j-1", 2)
	m, a := b.running(j)
	j.tooLong = true // no checkpoint stores its outcomes
	m.group.mark = 0
	b.report(m, TaskReport{Task: a.task, Attempt: a.attempt, State: Ended, Cause: CauseDone})
	b.writeMachine(m, prioStart)
	b.play(100 * milli)

	record := string(b.store.get(m.group.key()).KV.Value)
	if record == "" || strings.Contains(record, "j-1") {
		t.Fatalf("stored %q, want the machine without the task", record)
	}
	if m.assigns[a.task] != a || !a.unlisted || len(m.reap) > 0 {
		t.Fatalf("kept %v, unlisted %v, reaped %v before its outcome is stored", m.assigns[a.task] == a, a.unlisted, m.reap)
	}
	written := m.group.mark
	b.writeJob(j, prioDone)
	b.play(100 * milli)
	if m.assigns[a.task] != nil || !m.reap[a.start()] {
		t.Error("its outcome is stored, and the worker is not told to forget it")
	}
	if b.play(4 * second); m.group.mark != written {
		t.Error("its record was written once more for that")
	}
}

// TestCompletedUnderEarlierHolder: the holder before has seen a task complete,
// left it out of the record, and ended before it stored the outcome. Its
// successor learns it from the worker's report, has it stored, and only then
// lets the worker forget it. Forgotten at once, as other tasks that no record
// lists, it would be started again.
func TestCompletedUnderEarlierHolder(t *testing.T) {
	completed := TaskReport{Task: TaskID{Job: "j-1", Index: 1}, Attempt: 3, State: Ended, Cause: CauseDone}
	for _, test := range []struct {
		name    string
		prepare func(*job)
		task    TaskReport
		learned bool
	}{
		{"not known to be done", func(*job) {}, completed, true},
		{"waits for the job's further outcomes", func(j *job) { j.loading = 1 }, completed, false},
		{"started elsewhere meanwhile", func(j *job) { j.setPlaced(1, &assign{task: completed.Task, job: j, attempt: 9}) }, completed, false},
		{"cancelled", func(j *job) { j.cancelling = true }, completed, false},
		{"failed", func(*job) {}, TaskReport{Task: completed.Task, Attempt: 3, State: Ended, Cause: CauseError}, false},
		{"beyond the job", func(*job) {}, TaskReport{Task: TaskID{Job: "j-1", Index: 7}, Attempt: 3, State: Ended, Cause: CauseDone}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newCoreHarness()
			j := b.job("j-1", 3)
			m, a := b.running(j)
			test.prepare(j)
			b.report(m, TaskReport{Task: a.task, Attempt: a.attempt, State: Running}, test.task)
			if got := j.done == 1 && m.assigns[test.task.Task] != nil; got != test.learned {
				t.Fatalf("learned %v, %d done", got, j.done)
			}
			if !test.learned {
				return
			}
			if len(m.reap) > 0 {
				t.Error("the worker may forget it before it is stored")
			}
			b.writeJob(j, prioDone)
			b.play(100 * milli)
			if kv := b.store.get(j.key(0)).KV; !strings.Contains(string(kv.Value), `"d":"1"`) {
				t.Errorf("stored %s", kv.Value)
			}
			if !m.reap[start{test.task.Task, test.task.Attempt}] || m.assigns[test.task.Task] != nil {
				t.Error("it is stored, and the worker is not told to forget it")
			}
		})
	}
}
