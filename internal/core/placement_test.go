package core

import (
	"testing"

	"stairrelay/internal/grouprecord"
)

// TestFirstTaskSpared: the first task of a job that had waited too long is not
// stopped for an urgent job; one of a job that has not waited is.
func TestFirstTaskSpared(t *testing.T) {
	for _, waited := range []bool{true, false} {
		c := New(Config{Self: "n0", Nodes: []NodeID{"n0"}, ReportEvery: 5 * second, StoreRPS: 100, WriteRPS: 100, ValueBytes: 4096, TxnOps: 12,
			Teams: []Team{{Name: "red", Limit: Res{CPU: 100_000_000}}}, Tuning: DefaultTuning()})
		c.types["small"] = MachineType{Name: "small", Cap: Res{CPU: 4_000_000, Mem: 16_000_000}, Zones: []string{"a"}}
		p := c.parts[0]
		m := c.addMachine(c.newGroup(p, "g", 1), grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}}, 5)
		m.acked = true
		c.wall = 1_000_000
		at := c.wall - 1000
		if waited {
			at = c.wall - Wall(c.cfg.Tuning.BeginWithin/milli)*3/4
		}
		old := newJob(JobSpec{ID: "j-1", Team: "red", Tasks: 9, Need: Res{CPU: 4_000_000}, CheckpntS: 10, Submitted: at}, 0, 0, 0)
		urgent := newJob(JobSpec{ID: "j-2", Team: "red", Tasks: 1, Need: Res{CPU: 4_000_000}, Priority: Urgent, Submitted: c.wall}, 0, 0, 0)
		c.addJob(old)
		c.addJob(urgent)
		a := &assign{task: TaskID{Job: "j-1", Index: 0}, job: old, need: old.spec.Need, mach: "m-1", phase: aSeen, state: Running}
		m.addAssign(a)
		old.setPlaced(0, a)
		c.preempt(p, []*job{urgent}, map[*job]bool{}, c.teamUse(p))
		if a.stop == waited {
			t.Errorf("waited %v: stopped %v", waited, a.stop)
		}
	}
}

// TestSuits: of two machines that are equal otherwise, work that would lose much
// on a spot machine gets the ordinary one and work that saves leaves it that;
// where no great loss is to be expected the kind does not matter.
func TestSuits(t *testing.T) {
	c := sevenCores()
	c.spotLosses.lost, c.spotLosses.seconds = 10, 20_000 // two an hour
	c.types["small"] = MachineType{Name: "small", FetchGBs: 0.25}
	p, spot, own := c.parts[0], true, false
	like := func(run, checkpoint float64) *job {
		return &job{spec: JobSpec{Spot: true, RuntimeS: run, CheckpntS: checkpoint, ImageGB: 1.5, Class: "c"}}
	}
	short, long, saves := like(15, 0), like(60, 0), like(60, 30)
	if !c.suits(p, long, own) || c.suits(p, long, spot) {
		t.Error("60 s that can't be saved are sent to a spot machine")
	}
	if c.suits(p, short, own) != c.suits(p, short, spot) || c.suits(p, saves, own) != c.suits(p, saves, spot) {
		t.Error("the kind of machine matters where no loss is to be expected")
	}
	c.cfg.Objectives = []Objective{{Kind: "deadline", Class: "tight", Times: 1}, {Kind: "finished", Class: "c", WithinS: 80}}
	due := like(15, 0)
	due.spec.Tasks = 20
	few := like(15, 0)
	few.spec.Class, few.spec.DeadlineS, few.spec.Tasks = "tight", 40, 3
	if !c.suits(p, few, spot) {
		t.Error("three short tasks, of which hardly ever one is lost, are scattered over ordinary machines")
	}
	if due.spec.Class, due.spec.DeadlineS = "tight", 40; c.suits(p, due, spot) || !c.suits(p, short, spot) {
		t.Error("a job that could not make its deadline with a task begun anew goes to spot machines, or one with time to spare does not")
	}
	if p.avoidSpot = true; c.suits(p, saves, own) || !c.suits(p, saves, spot) {
		t.Error("work that saves does not leave the ordinary machine to others")
	}
	if c.ordinaryWorthFetch(long) || !c.ordinaryWorthFetch(like(150, 0)) {
		t.Error("a new fetch of 6 s is not weighed against the expected loss")
	}
}
